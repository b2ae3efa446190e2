#include "libperidotreach/cell_grants.h"

#include <algorithm>

#include "libperidotreach/admission.h"
#include "libperidotreach/placement.h"
#include "libperidotreach/rank_order.h"

namespace peridotreach {
namespace {

// The most grants of a cell that one event may cause.
constexpr int kMaxGrantsPerEvent = 256;

// Extra time after a grant's lifetime for the entry's report on it; a grant
// without a report by then counts as unused.
constexpr Millis kGrantReportGrace = 6 * kSecond;

// Weight of the latest tick in the exponentially smoothed grant rate.
constexpr double kGrantRateSmoothing = 0.15;

// Factor on the memory margin at each tick, and the lowest margin.
constexpr double kMarginDecayPerTick = 0.998;
constexpr double kMinMemoryMargin = 0.7;

// A configured rank and its queue.
struct Candidate {
  const RankPolicy* policy;
  RankQueue* queue;
};

std::vector<Candidate> rank_candidates(CellState& cell,
                                       const FleetConfig& config) {
  std::vector<Candidate> candidates;
  for (const RankPolicy& policy : config.ranks) {
    const auto queue = cell.ranks.find(policy.id);
    if (queue == cell.ranks.end()) continue;
    candidates.push_back({&policy, &queue->second});
  }
  return candidates;
}

std::vector<RankDemand> rank_demands(const std::vector<Candidate>& candidates) {
  std::vector<RankDemand> demands;
  for (const Candidate& candidate : candidates) {
    const RankQueue& queue = *candidate.queue;
    demands.push_back({candidate.policy->order, candidate.policy->floor,
                       queue.window_tokens, queue.running, queue.waiting > 0});
  }
  return demands;
}

// Returns whether `caller` has as many running requests as it is allowed.
bool at_running_limit(const RankQueue& queue, const FleetConfig& config,
                      const std::string& caller) {
  const CallerPolicy* policy = find_caller(config, caller);
  if (policy == nullptr || policy->max_running == 0) return false;
  const auto running = queue.running_by_caller.find(caller);
  return running != queue.running_by_caller.end() &&
         running->second >= policy->max_running;
}

// Returns the callers with waiting requests that are below their running limit.
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

// Grants the first waiting request of `caller` as `choice` says.
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

// Returns whether `rank` would be below its floor with one running request
// less. It would then get the next grant at once.
bool would_fall_below_floor(const std::vector<Candidate>& candidates,
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
    RankDemand remaining = demands[i];
    remaining.running -= 1;
    return below_floor(remaining, tokens, running - 1);
  }
  return true;
}

// Withdraws a grant of the least urgent rank after `order` that can spare one.
// The granted request must not have started, and its endpoint must be eligible
// for `item`.
void withdraw_grant_for(CellState& cell, const CellContext& context,
                        const QueuedRequest& item, std::uint32_t order,
                        const std::vector<Candidate>& candidates,
                        const std::vector<RankDemand>& demands) {
  RunningRequest* victim = nullptr;
  std::uint32_t victim_order = order;
  for (auto& [key, request] : cell.running) {
    if (request.started || request.withdrawn) continue;
    const RankPolicy* rank = find_rank(context.config, request.item.rank);
    if (rank == nullptr || rank->order <= victim_order) continue;
    if (would_fall_below_floor(candidates, demands, rank->id)) continue;
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

// Grants a request of the candidate's next caller if it fits an endpoint.
// Returns whether it does.
bool grant_from_rank(CellState& cell, const CellContext& context,
                     const Candidate& candidate, bool is_below_floor) {
  RankQueue& queue = *candidate.queue;
  const std::string caller =
      next_caller(queue.counters, waiting_callers(queue, context.config));
  if (caller.empty()) return false;
  const QueuedRequest& item = queue.by_caller[caller].front();
  PlacementLimits limits = placement_limits(context.config, *candidate.policy);
  // Headroom of other ranks does not apply to a rank below its floor.
  if (is_below_floor) {
    limits.slot_share = 1;
    limits.memory_share = 1;
  }
  PlacementChoice choice = place(cell, item, limits, context.now);
  if (choice.endpoint.empty()) {
    queue.last_contended_at = context.now;
    return false;
  }
  if (is_below_floor && choice.reason == GrantReason::kRankOrder) {
    choice.reason = GrantReason::kFloor;
  }
  grant_front(cell, context, queue, caller, choice);
  return true;
}

// Withdraws a grant of a less urgent rank in favour of the first rank in order,
// no request of which fits an endpoint. Does nothing while an earlier
// withdrawal is pending.
void withdraw_for_first_rank(CellState& cell, const CellContext& context,
                             const std::vector<Candidate>& candidates,
                             const std::vector<RankDemand>& demands,
                             std::size_t first_index) {
  const Candidate& first = candidates[first_index];
  const std::string caller = next_caller(
      first.queue->counters, waiting_callers(*first.queue, context.config));
  if (caller.empty()) return;
  const bool withdrawal_pending =
      std::any_of(cell.running.begin(), cell.running.end(),
                  [](const auto& entry) { return entry.second.withdrawn; });
  if (withdrawal_pending) return;
  const QueuedRequest item = first.queue->by_caller[caller].front();
  withdraw_grant_for(cell, context, item, first.policy->order, candidates,
                     demands);
}

// Grants one request of the first rank in order that has one which fits.
bool grant_one(CellState& cell, const CellContext& context) {
  const std::vector<Candidate> candidates =
      rank_candidates(cell, context.config);
  const std::vector<RankDemand> demands = rank_demands(candidates);
  double total_tokens = 0;
  double total_running = 0;
  for (const RankDemand& demand : demands) {
    total_tokens += demand.window_tokens;
    total_running += demand.running;
  }
  const std::vector<std::size_t> order = rank_order(demands);
  for (const std::size_t index : order) {
    const bool is_below_floor =
        below_floor(demands[index], total_tokens, total_running);
    if (grant_from_rank(cell, context, candidates[index], is_below_floor)) {
      return true;
    }
  }
  if (!order.empty()) {
    withdraw_for_first_rank(cell, context, candidates, demands, order.front());
  }
  return false;
}

// Grants the request that arrived first, of any rank, as the baseline policy
// does.
bool grant_in_arrival_order(CellState& cell, const CellContext& context) {
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

// Refuses queued requests that may not wait any longer.
void refuse_overdue(CellState& cell, const CellContext& context) {
  for (auto& [rank, queue] : cell.ranks) {
    for (auto& [caller, items] : queue.by_caller) {
      const auto refused = [&](const QueuedRequest& item) {
        const AdmissionDecision decision =
            recheck_admission(cell, context.config, item, context.now);
        if (decision.kind == RefusalKind::kNone) return false;
        context.effects.emplace_back(
            IssueRefusal{item.key, decision.kind, decision.retry_after});
        return true;
      };
      queue.waiting -= std::erase_if(items, refused);
    }
  }
}

// Removes granted requests on which no report came in time.
void remove_unused_grants(CellState& cell, const CellContext& context) {
  std::vector<RequestKey> unused;
  for (const auto& [key, request] : cell.running) {
    if (request.started || request.last_progress_at > request.granted_at)
      continue;
    if (context.now - request.granted_at < kGrantLifetime + kGrantReportGrace) {
      continue;
    }
    unused.push_back(key);
  }
  for (const RequestKey& key : unused) {
    remove_running(cell, context.config, key);
  }
}

}  // namespace

void issue_grants(CellState& cell, const CellContext& context) {
  for (int i = 0; i < kMaxGrantsPerEvent; ++i) {
    const bool granted = context.baseline
                             ? grant_in_arrival_order(cell, context)
                             : grant_one(cell, context);
    if (!granted) return;
  }
}

void expire_requests(CellState& cell, const CellContext& context) {
  refuse_overdue(cell, context);
  remove_unused_grants(cell, context);
  expire_suspects(cell.quarantine, context.now);
}

void advance_cell(CellState& cell, const CellContext& context, Millis elapsed) {
  if (elapsed <= 0) return;
  for (auto& [rank, queue] : cell.ranks) {
    queue.window_tokens = decayed_window(queue.window_tokens, elapsed);
    // Without a backlog, the number of grants is limited by arrivals and does
    // not show the rate at which the queue drains.
    if (queue.waiting > 0) {
      const double rate =
          queue.grants_since_tick * kSecond / static_cast<double>(elapsed);
      queue.grants_per_second +=
          kGrantRateSmoothing * (rate - queue.grants_per_second);
    }
    queue.grants_since_tick = 0;
  }
  for (auto& [id, endpoint] : cell.endpoints) {
    refresh_projection(cell, endpoint, context.now);
  }
  cell.memory_margin =
      std::max(kMinMemoryMargin, cell.memory_margin * kMarginDecayPerTick);
  if (!cell.running.empty()) cell.last_used_at = context.now;
}

}  // namespace peridotreach
