#pragma once

// Lists of the live processes of an availability zone. A relay sends a list
// only to a process that holds another one, which the hash tells.

#include <string>

#include "libperidotreach/routing/peer_view.h"

namespace peridotreach {

// Returns the live and not stopping processes of `zone`.
ZoneMembers list_zone_members(const PeerView& view, const LocalPeer& local,
                              const std::string& zone, Millis now);

// Returns the hash of the list that a relay last sent of `zone`; 0 if none.
std::uint64_t received_hash(const PeerView& view, const std::string& zone);

// Replaces the list of a zone. Its members count as alive; those that are no
// longer listed only if they reported themselves.
void replace_zone_members(PeerView& view, const std::string& self,
                          const ZoneMembers& list, Millis now);

// Confirms that the list of `zone` with this `hash` still holds. Returns
// whether it is the one that was received last.
bool confirm_zone_members(PeerView& view, const std::string& zone,
                          std::uint64_t hash, Millis now);

}  // namespace peridotreach
