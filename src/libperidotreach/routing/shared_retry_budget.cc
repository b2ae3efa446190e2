#include "libperidotreach/routing/shared_retry_budget.h"

#include <algorithm>

namespace peridotreach {
namespace {

void remove_before(std::deque<Millis>& times, Millis oldest) {
  while (!times.empty() && times.front() < oldest) times.pop_front();
}

}  // namespace

void record_request(SharedRetryBudget& budget, const RetryBudgetLimits& limits,
                    Millis now) {
  remove_before(budget.requests, now - limits.window);
  budget.requests.push_back(now);
}

RetryCounts retry_counts_at(const SharedRetryBudget& budget,
                            const RetryBudgetLimits& limits, Millis now) {
  const auto within = [&](const std::deque<Millis>& times) {
    return static_cast<std::uint32_t>(
        times.end() -
        std::lower_bound(times.begin(), times.end(), now - limits.window));
  };
  return {within(budget.requests), within(budget.retries)};
}

bool try_take_shared_retry(SharedRetryBudget& budget,
                           const RetryBudgetLimits& limits,
                           const PeerRetryCounts& peers, Millis now) {
  remove_before(budget.requests, now - limits.window);
  remove_before(budget.retries, now - limits.window);
  const RetryCounts own = retry_counts_at(budget, limits, now);
  const double max_retries =
      limits.ratio * static_cast<double>(own.requests + peers.counts.requests) +
      limits.slack;
  const auto unreported = static_cast<double>(
      budget.retries.end() - std::lower_bound(budget.retries.begin(),
                                              budget.retries.end(),
                                              now - peers.report_delay));
  // The budget that was left when all processes last knew each other's counts.
  const double remaining =
      kUsableBudgetShare * max_retries -
      (static_cast<double>(own.retries + peers.counts.retries) - unreported);
  const auto process_count =
      static_cast<double>(std::max<std::size_t>(peers.process_count, 1));
  if (unreported + 1 > remaining / process_count) return false;
  budget.retries.push_back(now);
  return true;
}

}  // namespace peridotreach
