#pragma once

// Relays of a large fleet. Each availability zone has a few processes that
// collect the reports of the others, exchange their sums with other zones and
// report the state of the fleet back. What a process exchanges is thus bounded
// by a constant, and for relays by the size of a zone. Processes may disagree
// for a moment on who the relays are; nothing but the quality of decisions
// depends on it.

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "libperidotreach/routing/peer_view.h"

namespace peridotreach {

// Relays of an availability zone. The first one acts for the zone; the others
// know enough to replace it at once.
inline constexpr std::size_t kRelaysPerZone = 2;

// Processes that watch the frequently changing tables of the store for a large
// fleet.
inline constexpr std::size_t kTableWatchers = 2;

// Returns whether the fleet is so large that processes report to relays.
bool uses_relays(const PeerView& view);

// The relays that one process knows.
struct RelayTopology {
  // Whether processes report to relays; if not, all report to each other.
  bool uses_relays = false;
  // The relays of each availability zone, the first one in front.
  std::map<std::string, std::vector<std::string>> by_zone;
  bool is_relay = false;
  bool is_first_relay = false;

  bool operator==(const RelayTopology&) const = default;
};

// Returns the relays. Preferred are processes with the largest share of a
// processor, among equal ones by rendezvous hashing. The order depends on
// nothing that changes, so that processes agree on it as soon as they know each
// other. A process that did not answer this one is left out.
RelayTopology find_relays(const PeerView& view, const LocalPeer& local,
                          Millis now);

// Returns the relays of a zone, empty if it has none.
std::vector<std::string> relays_of(const RelayTopology& topology,
                                   const std::string& zone);

// Returns the relays of all zones but `zone`.
std::vector<std::string> relays_outside(const RelayTopology& topology,
                                        const std::string& zone);

// Returns the first relay of one of the zones, chosen by rendezvous hashing for
// `subject`. Empty if there is no relay.
std::string relay_for(const RelayTopology& topology,
                      const std::string& subject);

// Returns whether this process watches the tables of the store for the fleet.
// `store_reachable` tells whether its own calls succeed.
bool relay_watches_tables(const RelayTopology& topology, const PeerView& view,
                          const std::string& self, bool store_reachable);

// Records that a message that needs an answer was sent to a peer.
void expect_answer(PeerView& view, const std::string& vm, Millis now);

// Marks peers as unresponsive whose answer is overdue. Returns their VMs.
std::vector<std::string> mark_unresponsive(PeerView& view, Millis now);

}  // namespace peridotreach
