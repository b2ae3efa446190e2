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

void list_peer(PeerView& view, const PeerRecord& record, Millis now) {
  PeerState& peer = view.peers[record.vm];
  peer.listed = true;
  if (peer.first_known == 0) peer.first_known = now;
  // An entry of an earlier incarnation may be listed late.
  if (record.incarnation < peer.record.incarnation) return;
  peer.record = record;
}

void unlist_peer(PeerView& view, const std::string& vm) {
  const auto found = view.peers.find(vm);
  if (found != view.peers.end()) found->second.listed = false;
}

bool hear_peer(PeerView& view, const PeerRecord& record,
               const PeerCondition& condition, Millis now) {
  PeerState& peer = view.peers[record.vm];
  const bool is_new =
      peer.heard == 0 || peer.record.incarnation < record.incarnation;
  if (record.incarnation < peer.record.incarnation) return false;
  if (peer.first_known == 0) peer.first_known = now;
  peer.record = record;
  peer.ready = condition.ready;
  peer.stopping = condition.stopping;
  const bool lost_now = !condition.reads_store && peer.store_lost == 0;
  if (condition.reads_store) peer.store_lost = 0;
  if (lost_now) peer.store_lost = now;
  peer.reads_store = condition.reads_store;
  peer.heard = now;
  return is_new;
}

bool is_alive(const PeerState& peer, Millis now) {
  return peer.heard != 0 && now - peer.heard <= kPeerSilence;
}

bool follows_tables(const PeerView& view, const PeerRecord& self,
                    bool reads_store, Millis now) {
  if (!reads_store) return true;
  for (const auto& [vm, peer] : view.peers) {
    if (!is_alive(peer, now) || peer.stopping || !peer.reads_store) continue;
    if (peer.record.zone != self.zone) continue;
    if (weight_of(vm, self.zone) > weight_of(self.vm, self.zone)) return false;
  }
  return true;
}

std::string room_keeper(const PeerView& view, const PeerRecord& self,
                        const std::string& service, Millis now) {
  const bool is_one_cell = view.peers.size() <= kMostPeersOfOneCell;
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

std::string turn_keeper(const PeerView& view, const std::string& self,
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

bool store_is_away(const PeerView& view, bool reads_store, Millis now) {
  if (reads_store) return false;
  return std::none_of(
      view.peers.begin(), view.peers.end(), [&](const auto& entry) {
        return is_alive(entry.second, now) && entry.second.reads_store;
      });
}

bool peer_lost_store(const PeerView& view, Millis since, Millis now) {
  return std::any_of(
      view.peers.begin(), view.peers.end(), [&](const auto& entry) {
        return is_alive(entry.second, now) && entry.second.store_lost > since;
      });
}

std::vector<std::string> forget_peers(PeerView& view, Millis now) {
  std::vector<std::string> forgotten;
  for (const auto& [vm, peer] : view.peers) {
    const Millis last = std::max(peer.heard, peer.first_known);
    if (peer.listed || now - last <= kPeerMemory) continue;
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
    all.push_back(record.callers);
    if (record.zone == zone) in_zone.push_back(record.callers);
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
