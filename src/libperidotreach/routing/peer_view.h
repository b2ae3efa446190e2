#pragma once

// The processes of the fleet as one of them sees it. The store lists them; the
// view freezes while the store is away, and what peers tell each other decides
// who is alive.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

// How a process can be reached; addresses are ADDRESS:PORT.
struct PeerRecord {
  std::string vm;
  std::string zone;
  std::string link_address;
  std::string caller_address;
  std::uint64_t incarnation = 0;

  bool operator==(const PeerRecord&) const = default;
};

// Silence after which a peer is no longer given to callers: three heartbeats.
inline constexpr Millis kPeerLivenessTimeout = 2500;

// Peers up to which a fleet is one cell; beyond, each zone is one.
inline constexpr std::size_t kMaxSingleCellPeers = 12;

// Silence after which an unlisted peer is forgotten.
inline constexpr Millis kPeerRetention = 20 * kSecond;

// A peer and when it was heard last.
struct PeerState {
  PeerRecord record;
  bool listed = false;
  bool ready = false;
  bool stopping = false;
  // Its calls to the store succeed.
  bool store_reachable = false;
  // Since when they fail; 0 if they succeed or nothing was heard yet.
  Millis store_lost_at = 0;
  Millis first_known_at = 0;
  // 0 if it was never heard.
  Millis last_heard_at = 0;

  bool operator==(const PeerState&) const = default;
};

// All peers by VM.
struct PeerView {
  std::map<std::string, PeerState> peers;

  bool operator==(const PeerView&) const = default;
};

// The store lists a peer, or no longer does.
void mark_peer_listed(PeerView& view, const PeerRecord& record, Millis now);
void mark_peer_unlisted(PeerView& view, const std::string& vm);

// What a peer tells of its condition.
struct PeerStatus {
  bool ready = false;
  bool stopping = false;
  bool store_reachable = false;

  bool operator==(const PeerStatus&) const = default;
};

// A peer told about itself. Returns whether it was unknown, or has restarted.
bool update_peer_status(PeerView& view, const PeerRecord& record,
                        const PeerStatus& condition, Millis now);

// Returns whether a peer counts as alive.
bool is_alive(const PeerState& peer, Millis now);

// Returns the VM that keeps the room of `service` for the cell of `self`: a
// small fleet is one cell, in a large one each availability zone is.
std::string placement_coordinator(const PeerView& view, const PeerRecord& self,
                                  const std::string& service, Millis now);

// Returns the VM that keeps the turns at `endpoint`: every process finds the
// same one by rendezvous hashing as long as their views agree.
std::string copy_lease_coordinator(const PeerView& view,
                                   const std::string& self,
                                   const std::string& endpoint, Millis now);

// Returns whether `self` is the one process of its availability zone that
// follows the store's busy tables for the others. `store_reachable` tells
// whether its own calls succeed.
bool watches_tables(const PeerView& view, const PeerRecord& self,
                    bool reads_store, Millis now);

// Returns whether no process that is alive reaches the store, as far as they
// have told.
bool is_store_unreachable(const PeerView& view, bool reads_store, Millis now);

// Returns whether a peer that is alive has lost the store later than `since`.
bool peer_lost_store(const PeerView& view, Millis since, Millis now);

// Forgets peers that are neither listed nor heard. Returns their names.
std::vector<std::string> remove_expired_peers(PeerView& view, Millis now);

// Returns the addresses that callers of `zone` should use: those in their own
// zone if there are enough of them to bear a loss, else all. `self` is null if
// this process takes no callers.
std::vector<std::string> caller_addresses(const PeerView& view,
                                          const PeerRecord* self,
                                          const std::string& zone, Millis now);

}  // namespace peridotreach
