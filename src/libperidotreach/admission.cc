#include "libperidotreach/admission.h"

#include <algorithm>

namespace peridotreach {
namespace {

// How long a rank counts as contended after one of its requests had to wait.
constexpr Millis kContentionPeriod = 2 * kSecond;

// Queue limit of a caller whose configuration sets none.
constexpr std::size_t kDefaultMaxQueued = 256;

// Below this rate, the grant rate is too low to predict a wait from.
constexpr double kMinGrantsPerSecond = 0.05;

// Largest expected wait that is admitted, as a share of the time left until the
// start deadline.
constexpr double kMaxWaitShare = 0.8;

// Bounds of the retry delay that a refusal suggests.
constexpr Millis kMinRetryAfter = kSecond;
constexpr Millis kMaxRetryAfter = 5 * kMinute;

// Returns the sum of the shares of `caller` and of all other callers with
// waiting requests.
double total_waiting_share(const RankQueue& queue, const FleetConfig& config,
                           const std::string& caller) {
  double total = caller_share(config, caller);
  for (const auto& [other, items] : queue.by_caller) {
    if (other == caller || items.empty()) continue;
    total += caller_share(config, other);
  }
  return total;
}

Millis retry_after(Millis wait, Millis max_wait) {
  return std::clamp(wait - max_wait, kMinRetryAfter, kMaxRetryAfter);
}

// Returns whether a request with a model may still find an endpoint: one that
// is available or that has not reported its load yet.
bool has_available_endpoint(const CellState& cell, const QueuedRequest& item,
                            Millis now) {
  return std::any_of(cell.endpoints.begin(), cell.endpoints.end(),
                     [&](const auto& entry) {
                       const CellEndpoint& endpoint = entry.second;
                       return !endpoint.has_load_report ||
                              availability(endpoint.health, now) !=
                                  Availability::kUnavailable;
                     }) &&
         !item.model.empty();
}

}  // namespace

Millis expected_wait(const RankQueue& queue, const FleetConfig& config,
                     const std::string& caller, std::size_t ahead, Millis now) {
  if (now - queue.last_contended_at > kContentionPeriod) return 0;
  if (queue.grants_per_second < kMinGrantsPerSecond) return 0;
  const double caller_fraction =
      caller_share(config, caller) / total_waiting_share(queue, config, caller);
  const double caller_rate = queue.grants_per_second * caller_fraction;
  const double wait_seconds = static_cast<double>(ahead + 1) / caller_rate;
  return static_cast<Millis>(wait_seconds * kSecond);
}

AdmissionDecision admit(const CellState& cell, const FleetConfig& config,
                        const QueuedRequest& item, Millis now) {
  const RankPolicy* rank = find_rank(config, item.rank);
  if (rank == nullptr) return {RefusalKind::kBadRequest, kMinRetryAfter};
  const auto queue = cell.ranks.find(item.rank);
  if (queue == cell.ranks.end()) return {};
  const auto own_queue = queue->second.by_caller.find(item.caller);
  const std::size_t ahead =
      own_queue == queue->second.by_caller.end() ? 0 : own_queue->second.size();
  const Millis wait =
      expected_wait(queue->second, config, item.caller, ahead, now);
  const CallerPolicy* caller = find_caller(config, item.caller);
  const std::size_t limit = caller != nullptr && caller->max_queued > 0
                                ? caller->max_queued
                                : kDefaultMaxQueued;
  const Millis time_left = rank->start_deadline - (now - item.queued_at);
  const auto max_wait =
      static_cast<Millis>(kMaxWaitShare * static_cast<double>(time_left));
  if (ahead >= limit) return {RefusalKind::kQueueFull, retry_after(wait, 0)};
  if (ahead > 0 && wait > max_wait) {
    return {RefusalKind::kDeadlineUnreachable, retry_after(wait, max_wait)};
  }
  return {};
}

AdmissionDecision recheck_admission(const CellState& cell,
                                    const FleetConfig& config,
                                    const QueuedRequest& item, Millis now) {
  const RankPolicy* rank = find_rank(config, item.rank);
  if (rank == nullptr) return {RefusalKind::kBadRequest, kMinRetryAfter};
  const Millis time_left = rank->start_deadline - (now - item.queued_at);
  if (time_left > kRefusalLeadTime) return {};
  if (!has_available_endpoint(cell, item, now)) {
    return {RefusalKind::kNoEndpoint, 5 * kSecond};
  }
  const auto queue = cell.ranks.find(item.rank);
  const Millis wait =
      queue == cell.ranks.end()
          ? 0
          : expected_wait(queue->second, config, item.caller, 0, now);
  return {RefusalKind::kDeadlineUnreachable,
          retry_after(wait, rank->start_deadline)};
}

}  // namespace peridotreach
