#include "libperidotreach/routing/peer_view.h"

#include <xxhash.h>

#include <algorithm>

namespace peridotreach {
namespace {

// Addresses of a zone that suffice for its callers.
constexpr std::size_t kEnoughInZone = 2;

// Addresses given to a caller at the most.
constexpr std::size_t kMostAddresses = 64;

// Weight of a VM in rendezvous hashing for `subject`.
std::uint64_t weight_of(const std::string& vm, const std::string& subject) {
  const std::string both = vm + "/" + subject;
  return XXH3_64bits(both.data(), both.size());
}

}  // namespace

void mark_peer_listed(PeerView& view, const PeerRecord& record, Millis now) {
  PeerState& peer = view.peers[record.vm];
  peer.listed = true;
  if (peer.first_known_at == 0) peer.first_known_at = now;
  // An entry of an earlier incarnation may be listed late.
  if (record.incarnation < peer.record.incarnation) return;
  peer.record = record;
}

void mark_peer_unlisted(PeerView& view, const std::string& vm) {
  const auto found = view.peers.find(vm);
  if (found != view.peers.end()) found->second.listed = false;
}

bool update_peer_status(PeerView& view, const PeerRecord& record,
                        const PeerStatus& condition, Millis now) {
  PeerState& peer = view.peers[record.vm];
  const bool is_new =
      peer.last_heard_at == 0 || peer.record.incarnation < record.incarnation;
  if (record.incarnation < peer.record.incarnation) return false;
  if (peer.first_known_at == 0) peer.first_known_at = now;
  peer.record = record;
  peer.ready = condition.ready;
  peer.stopping = condition.stopping;
  const bool lost_now = !condition.store_reachable && peer.store_lost_at == 0;
  if (condition.store_reachable) peer.store_lost_at = 0;
  if (lost_now) peer.store_lost_at = now;
  peer.store_reachable = condition.store_reachable;
  peer.last_heard_at = now;
  return is_new;
}

bool is_alive(const PeerState& peer, Millis now) {
  return peer.last_heard_at != 0 &&
         now - peer.last_heard_at <= kPeerLivenessTimeout;
}

bool watches_tables(const PeerView& view, const PeerRecord& self,
                    bool reads_store, Millis now) {
  if (!reads_store) return true;
  for (const auto& [vm, peer] : view.peers) {
    if (!is_alive(peer, now) || peer.stopping || !peer.store_reachable)
      continue;
    if (peer.record.zone != self.zone) continue;
    if (weight_of(vm, self.zone) > weight_of(self.vm, self.zone)) return false;
  }
  return true;
}

std::string placement_coordinator(const PeerView& view, const PeerRecord& self,
                                  const std::string& service, Millis now) {
  const bool is_one_cell = view.peers.size() <= kMaxSingleCellPeers;
  const std::string subject =
      "room/" + service + (is_one_cell ? "" : "/" + self.zone);
  std::string keeper = self.vm;
  std::uint64_t most = weight_of(self.vm, subject);
  for (const auto& [vm, peer] : view.peers) {
    if (!is_alive(peer, now) || peer.stopping || !peer.ready) continue;
    if (!is_one_cell && peer.record.zone != self.zone) continue;
    const std::uint64_t theirs = weight_of(vm, subject);
    if (theirs <= most) continue;
    most = theirs;
    keeper = vm;
  }
  return keeper;
}

std::string copy_lease_coordinator(const PeerView& view,
                                   const std::string& self,
                                   const std::string& endpoint, Millis now) {
  std::string keeper = self;
  std::uint64_t most = weight_of(self, endpoint);
  for (const auto& [vm, peer] : view.peers) {
    if (!is_alive(peer, now) || peer.stopping) continue;
    const std::uint64_t theirs = weight_of(vm, endpoint);
    if (theirs <= most) continue;
    most = theirs;
    keeper = vm;
  }
  return keeper;
}

bool is_store_unreachable(const PeerView& view, bool reads_store, Millis now) {
  if (reads_store) return false;
  return std::none_of(
      view.peers.begin(), view.peers.end(), [&](const auto& entry) {
        return is_alive(entry.second, now) && entry.second.store_reachable;
      });
}

bool peer_lost_store(const PeerView& view, Millis since, Millis now) {
  return std::any_of(view.peers.begin(), view.peers.end(),
                     [&](const auto& entry) {
                       return is_alive(entry.second, now) &&
                              entry.second.store_lost_at > since;
                     });
}

std::vector<std::string> remove_expired_peers(PeerView& view, Millis now) {
  std::vector<std::string> forgotten;
  for (const auto& [vm, peer] : view.peers) {
    const Millis last = std::max(peer.last_heard_at, peer.first_known_at);
    if (peer.listed || now - last <= kPeerRetention) continue;
    forgotten.push_back(vm);
  }
  for (const std::string& vm : forgotten) view.peers.erase(vm);
  return forgotten;
}

std::vector<std::string> caller_addresses(const PeerView& view,
                                          const PeerRecord* self,
                                          const std::string& zone, Millis now) {
  std::vector<std::string> all;
  std::vector<std::string> in_zone;
  const auto add = [&](const PeerRecord& record) {
    all.push_back(record.caller_address);
    if (record.zone == zone) in_zone.push_back(record.caller_address);
  };
  if (self != nullptr) add(*self);
  for (const auto& [vm, peer] : view.peers) {
    if (!is_alive(peer, now) || !peer.ready || peer.stopping) continue;
    add(peer.record);
  }
  std::vector<std::string>& chosen =
      in_zone.size() >= kEnoughInZone ? in_zone : all;
  if (chosen.size() > kMostAddresses) chosen.resize(kMostAddresses);
  return std::move(chosen);
}

}  // namespace peridotreach
