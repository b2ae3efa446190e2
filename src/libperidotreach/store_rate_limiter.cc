#include "libperidotreach/store_rate_limiter.h"

#include <algorithm>

namespace peridotreach {
namespace {

// Returns the part of the burst that calls of `priority` leave to more urgent
// calls.
double reserve_of(const StoreRateLimiter& limiter, StorePriority priority) {
  switch (priority) {
    case StorePriority::kLease:
      return 0;
    case StorePriority::kClaim:
      return 0.1 * limiter.burst_calls;
    case StorePriority::kConfiguration:
      return 0.2 * limiter.burst_calls;
    case StorePriority::kLedger:
      return 0.5 * limiter.burst_calls;
  }
  return 0;
}

double available_calls_at(const StoreRateLimiter& limiter, Millis now) {
  const auto elapsed = static_cast<double>(now - limiter.refilled_at) / kSecond;
  return std::min(limiter.burst_calls,
                  limiter.available_calls + elapsed * limiter.calls_per_second);
}

}  // namespace

bool try_take_call(StoreRateLimiter& limiter, StorePriority priority,
                   Millis now) {
  limiter.available_calls = available_calls_at(limiter, now);
  limiter.refilled_at = now;
  if (limiter.available_calls < 1 + reserve_of(limiter, priority)) return false;
  limiter.available_calls -= 1;
  return true;
}

Millis delay_until_call(const StoreRateLimiter& limiter, StorePriority priority,
                        Millis now) {
  const double missing =
      1 + reserve_of(limiter, priority) - available_calls_at(limiter, now);
  if (missing <= 0) return 0;
  return static_cast<Millis>(missing / limiter.calls_per_second * kSecond) + 1;
}

}  // namespace peridotreach
