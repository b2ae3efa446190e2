#include "libperidotreach/routing/relays.h"

#include <algorithm>
#include <tuple>

#include "libperidotreach/routing/rendezvous.h"

namespace peridotreach {
namespace {

// Time for a relay to answer. It covers a VM whose processor is shared out for
// a tenth of a second, and is short beside the lifetime of callers' requests.
constexpr Millis kRelayAnswerTimeout = 600;

// How long a relay that did not answer is left out.
constexpr Millis kUnresponsivePeriod = 3 * kSecond;

// A process that may become a relay.
struct Candidate {
  std::string vm;
  std::uint32_t processor_share = 0;
  std::uint64_t weight = 0;
};

bool is_preferred(const Candidate& left, const Candidate& right) {
  return std::tie(left.processor_share, left.weight, left.vm) >
         std::tie(right.processor_share, right.weight, right.vm);
}

Candidate candidate_of(const PeerRecord& record) {
  return {record.vm, record.processor_share,
          rendezvous_weight(record.vm, "relay/" + record.zone)};
}

std::vector<std::string> best_of(std::vector<Candidate> candidates) {
  const std::size_t count = std::min(kRelaysPerZone, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(), is_preferred);
  std::vector<std::string> best;
  for (std::size_t i = 0; i < count; ++i) best.push_back(candidates[i].vm);
  return best;
}

}  // namespace

bool uses_relays(const PeerView& view) {
  return view.peers.size() > kMaxSingleCellPeers;
}

RelayTopology find_relays(const PeerView& view, const LocalPeer& local,
                          Millis now) {
  RelayTopology topology;
  topology.uses_relays = uses_relays(view);
  if (!topology.uses_relays) return topology;
  std::map<std::string, std::vector<Candidate>> candidates;
  if (!local.stopping) {
    candidates[local.record.zone].push_back(candidate_of(local.record));
  }
  for (const auto& [vm, peer] : view.peers) {
    if (peer.stopping || peer.unresponsive_until > now) continue;
    if (!is_alive(peer, now)) continue;
    candidates[peer.record.zone].push_back(candidate_of(peer.record));
  }
  for (auto& [zone, in_zone] : candidates)
    topology.by_zone[zone] = best_of(std::move(in_zone));
  const std::vector<std::string> own = relays_of(topology, local.record.zone);
  topology.is_relay =
      std::find(own.begin(), own.end(), local.record.vm) != own.end();
  topology.is_first_relay = !own.empty() && own.front() == local.record.vm;
  return topology;
}

std::vector<std::string> relays_of(const RelayTopology& topology,
                                   const std::string& zone) {
  const auto found = topology.by_zone.find(zone);
  return found == topology.by_zone.end() ? std::vector<std::string>()
                                         : found->second;
}

std::vector<std::string> relays_outside(const RelayTopology& topology,
                                        const std::string& zone) {
  std::vector<std::string> relays;
  for (const auto& [other, in_zone] : topology.by_zone) {
    if (other == zone) continue;
    relays.insert(relays.end(), in_zone.begin(), in_zone.end());
  }
  return relays;
}

std::string relay_for(const RelayTopology& topology,
                      const std::string& subject) {
  std::string chosen;
  std::uint64_t highest_weight = 0;
  for (const auto& [zone, relays] : topology.by_zone) {
    const std::uint64_t weight = rendezvous_weight(relays.front(), subject);
    if (!chosen.empty() && weight <= highest_weight) continue;
    chosen = relays.front();
    highest_weight = weight;
  }
  return chosen;
}

bool relay_watches_tables(const RelayTopology& topology, const PeerView& view,
                          const std::string& self, bool store_reachable) {
  if (!topology.is_relay) return false;
  if (!store_reachable) return true;
  const std::uint64_t own_weight = rendezvous_weight(self, "tables");
  std::size_t preferred = 0;
  for (const auto& [zone, relays] : topology.by_zone) {
    const auto peer = view.peers.find(relays.front());
    if (peer == view.peers.end() || !peer->second.store_reachable) continue;
    // A second relay watches only if no first one reaches the store.
    if (!topology.is_first_relay) return false;
    if (rendezvous_weight(relays.front(), "tables") > own_weight)
      preferred += 1;
  }
  return preferred < kTableWatchers;
}

void expect_answer(PeerView& view, const std::string& vm, Millis now) {
  const auto found = view.peers.find(vm);
  if (found == view.peers.end()) return;
  if (found->second.unanswered_since == 0) found->second.unanswered_since = now;
}

std::vector<std::string> mark_unresponsive(PeerView& view, Millis now) {
  std::vector<std::string> marked;
  for (auto& [vm, peer] : view.peers) {
    if (peer.unanswered_since == 0) continue;
    if (now - peer.unanswered_since <= kRelayAnswerTimeout) continue;
    peer.unanswered_since = 0;
    peer.unresponsive_until = now + kUnresponsivePeriod;
    marked.push_back(vm);
  }
  return marked;
}

}  // namespace peridotreach
