#include "libperidotreach/cell_grants.h"

#include <algorithm>

#include "libperidotreach/admission.h"
#include "libperidotreach/placement.h"
#include "libperidotreach/rank_order.h"

namespace peridotreach {
namespace {

// The most grants that one event may cause.
constexpr int kMostGrants = 256;

// Extra time for an entry's report on a grant before it counts as unspent.
constexpr Millis kGrantReportSlack = 6 * kSecond;

// Weight of one tick in the smoothed grant rate.
constexpr double kRateWeight = 0.15;

// Decay of the memory margin in a tick without preemptions, and its least.
constexpr double kMarginDecay = 0.998;
constexpr double kLeastMargin = 0.7;

// A rank that may be served, with its queue.
struct Candidate {
  const RankPolicy* policy;
  RankQueue* queue;
};

std::vector<Candidate> candidates_of(CellState& cell,
                                     const FleetConfig& config) {
  std::vector<Candidate> candidates;
  for (const RankPolicy& policy : config.ranks) {
    const auto queue = cell.ranks.find(policy.id);
    if (queue == cell.ranks.end()) continue;
    candidates.push_back({&policy, &queue->second});
  }
  return candidates;
}

std::vector<RankDemand> demands_of(const std::vector<Candidate>& candidates) {
  std::vector<RankDemand> demands;
  for (const Candidate& candidate : candidates) {
    const RankQueue& queue = *candidate.queue;
    demands.push_back({candidate.policy->order, candidate.policy->floor,
                       queue.window_tokens, queue.running, queue.waiting > 0});
  }
  return demands;
}

bool at_running_limit(const RankQueue& queue, const FleetConfig& config,
                      const std::string& caller) {
  const CallerPolicy* policy = find_caller(config, caller);
  if (policy == nullptr || policy->max_running == 0) return false;
  const auto running = queue.running_by_caller.find(caller);
  return running != queue.running_by_caller.end() &&
         running->second >= policy->max_running;
}

std::vector<std::string> waiting_callers(const RankQueue& queue,
                                         const FleetConfig& config) {
  std::vector<std::string> callers;
  for (const auto& [caller, items] : queue.by_caller) {
    if (items.empty()) continue;
    if (at_running_limit(queue, config, caller)) continue;
    callers.push_back(caller);
  }
  return callers;
}

void grant_front(CellState& cell, const CellContext& context, RankQueue& queue,
                 const std::string& caller, const PlacementChoice& choice) {
  auto& items = queue.by_caller[caller];
  const QueuedRequest item = items.front();
  items.pop_front();
  queue.waiting -= 1;
  queue.grants_since_tick += 1;
  advance_virtual_time(queue.counters, caller);
  add_running(cell, context, item, choice.endpoint);
  EndpointHealth& health = cell.endpoints.at(choice.endpoint).health;
  if (choice.reason == GrantReason::kProbe) health.probing = true;
  context.effects.emplace_back(
      IssueGrant{item.key, choice.endpoint, kGrantLifetime, choice.reason});
}

// Returns whether taking a request from `rank` would leave it below its floor,
// which would earn it the next grant at once.
bool needs_its_grants(const std::vector<Candidate>& candidates,
                      const std::vector<RankDemand>& demands,
                      const std::string& rank) {
  double tokens = 0;
  double running = 0;
  for (const RankDemand& demand : demands) {
    tokens += demand.window_tokens;
    running += demand.running;
  }
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].policy->id != rank) continue;
    RankDemand left = demands[i];
    left.running -= 1;
    return below_floor(left, tokens, running - 1);
  }
  return true;
}

// Takes back the latest grant of a less urgent rank none of whose tokens was
// delivered, on an endpoint that could serve `item`.
void withdraw_for(CellState& cell, const CellContext& context,
                  const QueuedRequest& item, std::uint32_t order,
                  const std::vector<Candidate>& candidates,
                  const std::vector<RankDemand>& demands) {
  RunningRequest* victim = nullptr;
  std::uint32_t victim_order = order;
  for (auto& [key, request] : cell.running) {
    if (request.started || request.withdrawn) continue;
    const RankPolicy* rank = find_rank(context.config, request.item.rank);
    if (rank == nullptr || rank->order <= victim_order) continue;
    if (needs_its_grants(candidates, demands, rank->id)) continue;
    const auto endpoint = cell.endpoints.find(request.endpoint);
    if (endpoint == cell.endpoints.end()) continue;
    if (!is_eligible(endpoint->second, item, context.now)) continue;
    victim = &request;
    victim_order = rank->order;
  }
  if (victim == nullptr) return;
  victim->withdrawn = true;
  context.effects.emplace_back(IssueWithdrawal{victim->item.key});
}

bool grant_from_rank(CellState& cell, const CellContext& context,
                     const Candidate& candidate, bool floor_first) {
  RankQueue& queue = *candidate.queue;
  const std::string caller =
      next_caller(queue.counters, waiting_callers(queue, context.config));
  if (caller.empty()) return false;
  const QueuedRequest& item = queue.by_caller[caller].front();
  PlacementLimits limits = placement_limits(context.config, *candidate.policy);
  // A rank below its floor is owed slots and memory that headroom may not
  // withhold.
  if (floor_first) {
    limits.slot_share = 1;
    limits.memory_share = 1;
  }
  PlacementChoice choice = place(cell, item, limits, context.now);
  if (choice.endpoint.empty()) {
    queue.last_contended_at = context.now;
    return false;
  }
  if (floor_first && choice.reason == GrantReason::kRankOrder) {
    choice.reason = GrantReason::kFloor;
  }
  grant_front(cell, context, queue, caller, choice);
  return true;
}

// The rank first in order, if nothing of it fits, may take a grant back from
// a less urgent one; one at a time.
void withdraw_for_first(CellState& cell, const CellContext& context,
                        const std::vector<Candidate>& candidates,
                        const std::vector<RankDemand>& demands,
                        std::size_t first_index) {
  const Candidate& first = candidates[first_index];
  const std::string caller = next_caller(
      first.queue->counters, waiting_callers(*first.queue, context.config));
  if (caller.empty()) return;
  const bool pending =
      std::any_of(cell.running.begin(), cell.running.end(),
                  [](const auto& entry) { return entry.second.withdrawn; });
  if (pending) return;
  const QueuedRequest item = first.queue->by_caller[caller].front();
  withdraw_for(cell, context, item, first.policy->order, candidates, demands);
}

bool grant_one(CellState& cell, const CellContext& context) {
  const std::vector<Candidate> candidates = candidates_of(cell, context.config);
  const std::vector<RankDemand> demands = demands_of(candidates);
  double total_tokens = 0;
  double total_running = 0;
  for (const RankDemand& demand : demands) {
    total_tokens += demand.window_tokens;
    total_running += demand.running;
  }
  const std::vector<std::size_t> order = rank_order(demands);
  for (const std::size_t index : order) {
    const bool floor_first =
        below_floor(demands[index], total_tokens, total_running);
    if (grant_from_rank(cell, context, candidates[index], floor_first)) {
      return true;
    }
  }
  if (!order.empty()) {
    withdraw_for_first(cell, context, candidates, demands, order.front());
  }
  return false;
}

// The baseline serves all requests in order of arrival.
bool grant_first_come(CellState& cell, const CellContext& context) {
  RankQueue* first_queue = nullptr;
  std::string first_caller;
  Millis first_at = 0;
  for (auto& [rank, queue] : cell.ranks) {
    for (const auto& [caller, items] : queue.by_caller) {
      if (items.empty()) continue;
      const Millis at = items.front().queued_at;
      if (first_queue != nullptr && at >= first_at) continue;
      first_queue = &queue;
      first_caller = caller;
      first_at = at;
    }
  }
  if (first_queue == nullptr) return false;
  const QueuedRequest& item = first_queue->by_caller[first_caller].front();
  const PlacementChoice choice =
      place_least_connections(cell, item, context.now);
  if (choice.endpoint.empty()) return false;
  grant_front(cell, context, *first_queue, first_caller, choice);
  return true;
}

void refuse_late(CellState& cell, const CellContext& context) {
  for (auto& [rank, queue] : cell.ranks) {
    for (auto& [caller, items] : queue.by_caller) {
      const auto late = [&](const QueuedRequest& item) {
        const AdmissionDecision verdict =
            recheck_admission(cell, context.config, item, context.now);
        if (verdict.kind == RefusalKind::kNone) return false;
        context.effects.emplace_back(
            IssueRefusal{item.key, verdict.kind, verdict.retry_after});
        return true;
      };
      queue.waiting -= std::erase_if(items, late);
    }
  }
}

void void_unspent(CellState& cell, const CellContext& context) {
  std::vector<RequestKey> unspent;
  for (const auto& [key, request] : cell.running) {
    if (request.started || request.last_progress_at > request.granted_at)
      continue;
    if (context.now - request.granted_at < kGrantLifetime + kGrantReportSlack) {
      continue;
    }
    unspent.push_back(key);
  }
  for (const RequestKey& key : unspent) {
    remove_running(cell, context.config, key);
  }
}

}  // namespace

void issue_grants(CellState& cell, const CellContext& context) {
  for (int i = 0; i < kMostGrants; ++i) {
    const bool granted = context.baseline ? grant_first_come(cell, context)
                                          : grant_one(cell, context);
    if (!granted) return;
  }
}

void expire_requests(CellState& cell, const CellContext& context) {
  refuse_late(cell, context);
  void_unspent(cell, context);
  expire_suspects(cell.quarantine, context.now);
}

void advance_cell(CellState& cell, const CellContext& context, Millis elapsed) {
  if (elapsed <= 0) return;
  for (auto& [rank, queue] : cell.ranks) {
    queue.window_tokens = decayed_window(queue.window_tokens, elapsed);
    // Only a backlog shows what drains; an empty queue says nothing of it.
    if (queue.waiting > 0) {
      const double rate =
          queue.grants_since_tick * kSecond / static_cast<double>(elapsed);
      queue.grants_per_second += kRateWeight * (rate - queue.grants_per_second);
    }
    queue.grants_since_tick = 0;
  }
  for (auto& [id, endpoint] : cell.endpoints) {
    refresh_projection(cell, endpoint, context.now);
  }
  cell.memory_margin =
      std::max(kLeastMargin, cell.memory_margin * kMarginDecay);
  if (!cell.running.empty()) cell.last_used_at = context.now;
}

}  // namespace peridotreach
