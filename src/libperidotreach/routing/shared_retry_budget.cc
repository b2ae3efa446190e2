#include "libperidotreach/routing/shared_retry_budget.h"

#include <algorithm>

namespace peridotreach {
namespace {

void forget_before(std::deque<Millis>& times, Millis oldest) {
  while (!times.empty() && times.front() < oldest) times.pop_front();
}

}  // namespace

void record_request(SharedRetryBudget& budget,
                    const RetryBudgetLimits& allowance, Millis now) {
  forget_before(budget.requests, now - allowance.window);
  budget.requests.push_back(now);
}

RetryCounts retry_counts_at(const SharedRetryBudget& budget,
                            const RetryBudgetLimits& allowance, Millis now) {
  const auto within = [&](const std::deque<Millis>& times) {
    return static_cast<std::uint32_t>(
        times.end() -
        std::lower_bound(times.begin(), times.end(), now - allowance.window));
  };
  return {within(budget.requests), within(budget.retries)};
}

bool try_take_shared_retry(SharedRetryBudget& budget,
                           const RetryBudgetLimits& allowance,
                           const PeerRetryCounts& peers, Millis now) {
  forget_before(budget.requests, now - allowance.window);
  forget_before(budget.retries, now - allowance.window);
  const RetryCounts own = retry_counts_at(budget, allowance, now);
  const double most =
      allowance.ratio *
          static_cast<double>(own.requests + peers.counts.requests) +
      allowance.slack;
  const auto untold = static_cast<double>(
      budget.retries.end() - std::lower_bound(budget.retries.begin(),
                                              budget.retries.end(),
                                              now - kRetryReportDelay));
  // What was left for all when all had last heard of each other.
  const double left =
      kUsableBudgetShare * most -
      (static_cast<double>(own.retries + peers.counts.retries) - untold);
  const auto sharers =
      static_cast<double>(std::max<std::size_t>(peers.process_count, 1));
  if (untold + 1 > left / sharers) return false;
  budget.retries.push_back(now);
  return true;
}

}  // namespace peridotreach
