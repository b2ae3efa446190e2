#include "libperidotreach/admission.h"

#include <algorithm>

namespace peridotreach {
namespace {

// A rank counts as contended for this long after a request had to wait.
constexpr Millis kContention = 2 * kSecond;

// Queue bound of a caller whose sheet gives none.
constexpr std::size_t kDefaultQueued = 256;

// Grants a second below which the drain rate says nothing.
constexpr double kLeastRate = 0.05;

// Share of the time left that the expected wait may take.
constexpr double kWaitShare = 0.8;

constexpr Millis kLeastRetryAfter = kSecond;
constexpr Millis kMostRetryAfter = 5 * kMinute;

double waiting_shares(const RankQueue& queue, const FleetConfig& config,
                      const std::string& caller) {
  double total = caller_share(config, caller);
  for (const auto& [other, items] : queue.by_caller) {
    if (other == caller || items.empty()) continue;
    total += caller_share(config, other);
  }
  return total;
}

Millis retry_after(Millis wait, Millis allowed) {
  return std::clamp(wait - allowed, kLeastRetryAfter, kMostRetryAfter);
}

bool any_serves(const CellState& cell, const QueuedRequest& item, Millis now) {
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
  if (now - queue.last_contended_at > kContention) return 0;
  if (queue.grants_per_second < kLeastRate) return 0;
  const double part =
      caller_share(config, caller) / waiting_shares(queue, config, caller);
  const double rate = queue.grants_per_second * part;
  const double seconds = static_cast<double>(ahead + 1) / rate;
  return static_cast<Millis>(seconds * kSecond);
}

AdmissionDecision admit(const CellState& cell, const FleetConfig& config,
                        const QueuedRequest& item, Millis now) {
  const RankPolicy* rank = find_rank(config, item.rank);
  if (rank == nullptr) return {RefusalKind::kBadRequest, kLeastRetryAfter};
  const auto queue = cell.ranks.find(item.rank);
  if (queue == cell.ranks.end()) return {};
  const auto own = queue->second.by_caller.find(item.caller);
  const std::size_t ahead =
      own == queue->second.by_caller.end() ? 0 : own->second.size();
  const Millis wait =
      expected_wait(queue->second, config, item.caller, ahead, now);
  const CallerPolicy* caller = find_caller(config, item.caller);
  const std::size_t most = caller != nullptr && caller->max_queued > 0
                               ? caller->max_queued
                               : kDefaultQueued;
  const Millis left = rank->start_deadline - (now - item.queued_at);
  const auto allowed =
      static_cast<Millis>(kWaitShare * static_cast<double>(left));
  if (ahead >= most) return {RefusalKind::kQueueFull, retry_after(wait, 0)};
  if (ahead > 0 && wait > allowed) {
    return {RefusalKind::kDeadlineUnreachable, retry_after(wait, allowed)};
  }
  return {};
}

AdmissionDecision recheck_admission(const CellState& cell,
                                    const FleetConfig& config,
                                    const QueuedRequest& item, Millis now) {
  const RankPolicy* rank = find_rank(config, item.rank);
  if (rank == nullptr) return {RefusalKind::kBadRequest, kLeastRetryAfter};
  const Millis left = rank->start_deadline - (now - item.queued_at);
  if (left > kRefusalLeadTime) return {};
  if (!any_serves(cell, item, now)) {
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
