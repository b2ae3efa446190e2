#include "libperidotreach/store_budget.h"

#include <algorithm>

namespace peridotreach {
namespace {

// Part of the burst that a priority leaves to more urgent ones.
double reserve_of(const StoreBudget& budget, StorePriority priority) {
  switch (priority) {
    case StorePriority::kLease:
      return 0;
    case StorePriority::kClaim:
      return 0.1 * budget.burst;
    case StorePriority::kConfiguration:
      return 0.2 * budget.burst;
    case StorePriority::kLedger:
      return 0.5 * budget.burst;
  }
  return 0;
}

double saved_at(const StoreBudget& budget, Millis now) {
  const auto elapsed = static_cast<double>(now - budget.filled_at) / kSecond;
  return std::min(budget.burst, budget.saved + elapsed * budget.rate);
}

}  // namespace

bool take_call(StoreBudget& budget, StorePriority priority, Millis now) {
  budget.saved = saved_at(budget, now);
  budget.filled_at = now;
  if (budget.saved < 1 + reserve_of(budget, priority)) return false;
  budget.saved -= 1;
  return true;
}

Millis wait_for_call(const StoreBudget& budget, StorePriority priority,
                     Millis now) {
  const double missing =
      1 + reserve_of(budget, priority) - saved_at(budget, now);
  if (missing <= 0) return 0;
  return static_cast<Millis>(missing / budget.rate * kSecond) + 1;
}

}  // namespace peridotreach
