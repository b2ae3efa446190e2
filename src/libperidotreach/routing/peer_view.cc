#include "libperidotreach/routing/peer_view.h"

#include <algorithm>

#include "libperidotreach/routing/rendezvous.h"

namespace peridotreach {
namespace {

// Number of addresses in a zone that suffices for its callers.
constexpr std::size_t kMinAddressesInZone = 2;

constexpr std::size_t kMaxCallerAddresses = 64;

// Silence of an incarnation after which one with a lower number replaces it: a
// process that is killed takes longer to start again, and no message of it
// arrives later.
constexpr Millis kIncarnationTakeoverSilence = 1000;

}  // namespace

void mark_peer_listed(PeerView& view, const PeerRecord& record, Millis now) {
  PeerState& peer = view.peers[record.vm];
  peer.listed = true;
  if (peer.first_known_at == 0) peer.first_known_at = now;
  // The store may list the entry of an earlier incarnation late.
  if (record.incarnation < peer.record.incarnation) return;
  peer.record = record;
}

void mark_peer_unlisted(PeerView& view, const std::string& vm) {
  const auto found = view.peers.find(vm);
  if (found != view.peers.end()) found->second.listed = false;
}

bool update_peer_status(PeerView& view, const PeerRecord& record,
                        const PeerStatus& status, Millis now) {
  PeerState& peer = view.peers[record.vm];
  // Incarnations are times of day, so one that follows a backward step of the
  // clock is lower. It is accepted once the earlier one has gone silent.
  const bool replaces_silent =
      now - peer.last_heard_at > kIncarnationTakeoverSilence;
  if (record.incarnation < peer.record.incarnation && !replaces_silent)
    return false;
  const bool restarted = peer.record.incarnation != record.incarnation;
  const bool is_new = peer.last_heard_at == 0 || restarted;
  if (peer.first_known_at == 0) peer.first_known_at = now;
  peer.record = record;
  peer.unanswered_since = 0;
  peer.unresponsive_until = 0;
  peer.ready = status.ready;
  peer.stopping = status.stopping;
  const bool lost_now = !status.store_reachable && peer.store_lost_at == 0;
  if (status.store_reachable) peer.store_lost_at = 0;
  if (lost_now) peer.store_lost_at = now;
  peer.store_reachable = status.store_reachable;
  peer.last_heard_at = now;
  return is_new;
}

bool is_alive(const PeerState& peer, Millis now) {
  const Millis last_sign = std::max(peer.last_heard_at, peer.reported_alive_at);
  return last_sign != 0 && now - last_sign <= kPeerLivenessTimeout;
}

bool watches_tables(const PeerView& view, const PeerRecord& self,
                    bool store_reachable, Millis now) {
  if (!store_reachable) return true;
  for (const auto& [vm, peer] : view.peers) {
    if (!is_alive(peer, now) || peer.stopping || !peer.store_reachable)
      continue;
    if (peer.record.zone != self.zone) continue;
    if (rendezvous_weight(vm, self.zone) >
        rendezvous_weight(self.vm, self.zone))
      return false;
  }
  return true;
}

std::string placement_coordinator(const PeerView& view, const PeerRecord& self,
                                  const std::string& service, Millis now) {
  const bool is_one_cell = view.peers.size() <= kMaxSingleCellPeers;
  const std::string subject =
      "placement/" + service + (is_one_cell ? "" : "/" + self.zone);
  std::string coordinator = self.vm;
  std::uint64_t highest_weight = rendezvous_weight(self.vm, subject);
  for (const auto& [vm, peer] : view.peers) {
    if (!is_alive(peer, now) || peer.stopping || !peer.ready) continue;
    if (!is_one_cell && peer.record.zone != self.zone) continue;
    const std::uint64_t weight = rendezvous_weight(vm, subject);
    if (weight <= highest_weight) continue;
    highest_weight = weight;
    coordinator = vm;
  }
  return coordinator;
}

std::string copy_lease_coordinator(const PeerView& view,
                                   const std::string& self,
                                   const std::string& endpoint, Millis now) {
  std::string coordinator = self;
  std::uint64_t highest_weight = rendezvous_weight(self, endpoint);
  for (const auto& [vm, peer] : view.peers) {
    if (!is_alive(peer, now) || peer.stopping) continue;
    const std::uint64_t weight = rendezvous_weight(vm, endpoint);
    if (weight <= highest_weight) continue;
    highest_weight = weight;
    coordinator = vm;
  }
  return coordinator;
}

bool is_store_unreachable(const PeerView& view, bool store_reachable,
                          Millis now) {
  if (store_reachable) return false;
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

double live_share(const PeerView& view, Millis now) {
  std::size_t known = 1;
  std::size_t live = 1;
  for (const auto& [vm, peer] : view.peers) {
    const bool alive = is_alive(peer, now);
    if (!alive && peer.stopping) continue;
    known += 1;
    if (alive) live += 1;
  }
  return static_cast<double>(live) / static_cast<double>(known);
}

std::vector<std::string> remove_expired_peers(PeerView& view, Millis now) {
  std::vector<std::string> expired;
  for (const auto& [vm, peer] : view.peers) {
    const Millis last_known_at = std::max(
        {peer.last_heard_at, peer.reported_alive_at, peer.first_known_at});
    if (peer.listed || now - last_known_at <= kPeerRetention) continue;
    expired.push_back(vm);
  }
  for (const std::string& vm : expired) view.peers.erase(vm);
  return expired;
}

std::vector<std::string> caller_addresses(const PeerView& view,
                                          const PeerRecord* self,
                                          const std::string& zone, Millis now,
                                          std::uint64_t draw) {
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
      in_zone.size() >= kMinAddressesInZone ? in_zone : all;
  if (chosen.size() > kMaxCallerAddresses) {
    const auto first = static_cast<std::ptrdiff_t>(draw % chosen.size());
    std::rotate(chosen.begin(), chosen.begin() + first, chosen.end());
    chosen.resize(kMaxCallerAddresses);
  }
  return std::move(chosen);
}

}  // namespace peridotreach
