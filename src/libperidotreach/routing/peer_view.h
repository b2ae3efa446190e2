#pragma once

// One process's view of the processes of the fleet. The store lists them. While
// the store is unreachable the list stays as it is, and the reports that peers
// send each other determine which of them are alive.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

// How to reach a process; addresses have the form ADDRESS:PORT.
struct PeerRecord {
  std::string vm;
  std::string zone;
  std::string link_address;
  std::string caller_address;
  std::uint64_t incarnation = 0;
  // Thousandths of a core that the process may use.
  std::uint32_t processor_share = 0;
  // Port on which it opens tunnels to endpoints for peers, at the address for
  // callers; 0 if it opens none.
  std::uint16_t tunnel_port = 0;

  bool operator==(const PeerRecord&) const = default;
};

// A live process of an availability zone.
struct ZoneMember {
  PeerRecord record;
  bool ready = false;

  bool operator==(const ZoneMember&) const = default;
};

// The live processes of one availability zone, as one process knows them.
struct ZoneMembers {
  std::string zone;
  // Hash of the members. Equal hashes mean equal lists.
  std::uint64_t hash = 0;
  std::vector<ZoneMember> members;

  bool operator==(const ZoneMembers&) const = default;
};

// This process and its status, beside the view that it has of the others.
struct LocalPeer {
  PeerRecord record;
  bool ready = false;
  bool stopping = false;

  bool operator==(const LocalPeer&) const = default;
};

// A peer that has been silent for longer is considered dead and is no longer
// offered to callers; equals three heartbeats.
inline constexpr Millis kPeerLivenessTimeout = 2500;

// Fleets of up to this many peers form one cell, in which all processes report
// to each other. In larger ones each availability zone is a cell, and processes
// report to the relays of their zone.
inline constexpr std::size_t kMaxSingleCellPeers = 12;

// Silence after which an unlisted peer is removed.
inline constexpr Millis kPeerRetention = 20 * kSecond;

// A peer and its last report.
struct PeerState {
  PeerRecord record;
  bool listed = false;
  bool ready = false;
  bool stopping = false;
  // Whether its calls to the store succeed.
  bool store_reachable = false;
  // When they started to fail; 0 if they succeed or nothing was received yet.
  Millis store_lost_at = 0;
  Millis first_known_at = 0;
  // 0 if it never sent a report.
  Millis last_heard_at = 0;
  // When a relay last reported it alive; 0 if none did.
  Millis reported_alive_at = 0;
  // When this process first sent it a message that it has not answered; 0 if
  // there is none.
  Millis unanswered_since = 0;
  // Until when it is not used as a relay, as it did not answer.
  Millis unresponsive_until = 0;

  bool operator==(const PeerState&) const = default;
};

// All peers by VM.
struct PeerView {
  std::map<std::string, PeerState> peers;
  // The last complete list of each availability zone that a relay sent.
  std::map<std::string, ZoneMembers> received_members;

  bool operator==(const PeerView&) const = default;
};

// Records that the store lists a peer, or no longer does.
void mark_peer_listed(PeerView& view, const PeerRecord& record, Millis now);
void mark_peer_unlisted(PeerView& view, const std::string& vm);

// The status that a peer reports about itself.
struct PeerStatus {
  bool ready = false;
  bool stopping = false;
  bool store_reachable = false;

  bool operator==(const PeerStatus&) const = default;
};

// Processes a peer's report about itself. Returns whether the peer was unknown
// or has restarted.
bool update_peer_status(PeerView& view, const PeerRecord& record,
                        const PeerStatus& status, Millis now);

// Returns whether a peer has reported, or was reported alive, within
// `kPeerLivenessTimeout`.
bool is_alive(const PeerState& peer, Millis now);

// Returns the VM that coordinates placements on the engines of `service` for
// the cell of `self`. A small fleet is one cell; in a large one each
// availability zone is a cell.
std::string placement_coordinator(const PeerView& view, const PeerRecord& self,
                                  const std::string& service, Millis now);

// Returns the VM that coordinates the copy leases of `endpoint`. All processes
// with the same view choose the same one by rendezvous hashing.
std::string copy_lease_coordinator(const PeerView& view,
                                   const std::string& self,
                                   const std::string& endpoint, Millis now);

// Returns whether `self` watches the frequently changing tables of the store on
// behalf of its availability zone. One process of a zone does; a process that
// cannot reach the store itself, as `store_reachable` tells, always tries to.
bool watches_tables(const PeerView& view, const PeerRecord& self,
                    bool store_reachable, Millis now);

// Returns whether no live process is known to reach the store.
bool is_store_unreachable(const PeerView& view, bool store_reachable,
                          Millis now);

// Returns whether a live peer has lost the store after `since`.
bool peer_lost_store(const PeerView& view, Millis since, Millis now);

// Returns the share of the known processes, from 0 to 1, with which this
// process is in contact, including itself. Those that stopped as planned are
// left out.
double live_share(const PeerView& view, Millis now);

// Removes peers that are neither listed nor heard from. Returns their VMs.
std::vector<std::string> remove_expired_peers(PeerView& view, Millis now);

// Returns the addresses that callers of `zone` should use: those of processes
// in `zone` if there are enough of them to tolerate the loss of one, else all.
// If there are more than a response may hold, `draw` selects which, so that all
// are used. `self` is null if this process does not accept callers.
std::vector<std::string> caller_addresses(const PeerView& view,
                                          const PeerRecord* self,
                                          const std::string& zone, Millis now,
                                          std::uint64_t draw = 0);

}  // namespace peridotreach
