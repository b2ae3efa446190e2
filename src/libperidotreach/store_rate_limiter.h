#pragma once

// A limiter of calls to the platform's key-value service, with priorities:
// what must not wait (leases, claims) may use all of a process's rate, what
// can wait leaves a part of it free.

#include <cstdint>

#include "libperidotreach/time.h"

namespace peridotreach {

// Kinds of store calls, the most urgent first.
enum class StorePriority : std::uint8_t {
  kLease = 0,
  kClaim = 1,
  kConfiguration = 2,
  kLedger = 3,
};

// A token bucket. Rates are calls a second.
struct StoreRateLimiter {
  double calls_per_second = 2;
  double burst_calls = 20;
  double available_calls = 20;
  Millis refilled_at = 0;

  bool operator==(const StoreRateLimiter&) const = default;
};

// Takes one call from the budget at `now`. Returns false if a call of this
// priority has to wait.
bool try_take_call(StoreRateLimiter& budget, StorePriority priority,
                   Millis now);

// Returns the time until a call of this priority may be made.
Millis delay_until_call(const StoreRateLimiter& budget, StorePriority priority,
                        Millis now);

}  // namespace peridotreach
