#include "libperidotreach/store_rate_limiter.h"

#include <algorithm>

namespace peridotreach {
namespace {

// Part of the burst that a priority leaves to more urgent ones.
double reserve_of(const StoreRateLimiter& budget, StorePriority priority) {
  switch (priority) {
    case StorePriority::kLease:
      return 0;
    case StorePriority::kClaim:
      return 0.1 * budget.burst_calls;
    case StorePriority::kConfiguration:
      return 0.2 * budget.burst_calls;
    case StorePriority::kLedger:
      return 0.5 * budget.burst_calls;
  }
  return 0;
}

double saved_at(const StoreRateLimiter& budget, Millis now) {
  const auto elapsed = static_cast<double>(now - budget.refilled_at) / kSecond;
  return std::min(budget.burst_calls,
                  budget.available_calls + elapsed * budget.calls_per_second);
}

}  // namespace

bool try_take_call(StoreRateLimiter& budget, StorePriority priority,
                   Millis now) {
  budget.available_calls = saved_at(budget, now);
  budget.refilled_at = now;
  if (budget.available_calls < 1 + reserve_of(budget, priority)) return false;
  budget.available_calls -= 1;
  return true;
}

Millis delay_until_call(const StoreRateLimiter& budget, StorePriority priority,
                        Millis now) {
  const double missing =
      1 + reserve_of(budget, priority) - saved_at(budget, now);
  if (missing <= 0) return 0;
  return static_cast<Millis>(missing / budget.calls_per_second * kSecond) + 1;
}

}  // namespace peridotreach
