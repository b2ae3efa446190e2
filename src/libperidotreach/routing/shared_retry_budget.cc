#include "libperidotreach/routing/shared_retry_budget.h"

#include <algorithm>

namespace peridotreach {
namespace {

void forget_before(std::deque<Millis>& times, Millis oldest) {
  while (!times.empty() && times.front() < oldest) times.pop_front();
}

}  // namespace

void note_request(SharedRetryBudget& budget, const RetryAllowance& allowance,
                  Millis now) {
  forget_before(budget.requests, now - allowance.window);
  budget.requests.push_back(now);
}

RepeatCounts counts_at(const SharedRetryBudget& budget,
                       const RetryAllowance& allowance, Millis now) {
  const auto within = [&](const std::deque<Millis>& times) {
    return static_cast<std::uint32_t>(
        times.end() -
        std::lower_bound(times.begin(), times.end(), now - allowance.window));
  };
  return {within(budget.requests), within(budget.repeats)};
}

bool take_repeat(SharedRetryBudget& budget, const RetryAllowance& allowance,
                 const PeerRepeats& peers, Millis now) {
  forget_before(budget.requests, now - allowance.window);
  forget_before(budget.repeats, now - allowance.window);
  const RepeatCounts own = counts_at(budget, allowance, now);
  const double most =
      allowance.ratio *
          static_cast<double>(own.requests + peers.counts.requests) +
      allowance.slack;
  const auto untold = static_cast<double>(
      budget.repeats.end() - std::lower_bound(budget.repeats.begin(),
                                              budget.repeats.end(),
                                              now - kRepeatNews));
  // What was left for all when all had last heard of each other.
  const double left =
      kBudgetMargin * most -
      (static_cast<double>(own.repeats + peers.counts.repeats) - untold);
  const auto sharers =
      static_cast<double>(std::max<std::size_t>(peers.sharers, 1));
  if (untold + 1 > left / sharers) return false;
  budget.repeats.push_back(now);
  return true;
}

}  // namespace peridotreach
