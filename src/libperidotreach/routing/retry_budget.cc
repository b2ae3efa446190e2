#include "libperidotreach/routing/retry_budget.h"

#include <algorithm>

namespace peridotreach {
namespace {

void forget_before(std::deque<Millis>& times, Millis oldest) {
  while (!times.empty() && times.front() < oldest) times.pop_front();
}

}  // namespace

void note_request(RetryBudget& budget, const RetryAllowance& allowance,
                  Millis now) {
  forget_before(budget.requests, now - allowance.window);
  budget.requests.push_back(now);
}

bool take_repeat(RetryBudget& budget, const RetryAllowance& allowance,
                 std::size_t processes, Millis now) {
  forget_before(budget.requests, now - allowance.window);
  forget_before(budget.repeats, now - allowance.window);
  const auto sharers = static_cast<double>(std::max<std::size_t>(processes, 1));
  const double most =
      allowance.ratio * static_cast<double>(budget.requests.size()) +
      allowance.slack / sharers;
  const auto used = static_cast<double>(budget.repeats.size());
  if (used + 1 > kBudgetMargin * most) return false;
  budget.repeats.push_back(now);
  return true;
}

}  // namespace peridotreach
