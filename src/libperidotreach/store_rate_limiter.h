#pragma once

// Limits the rate of calls to the platform's key-value store, with priorities:
// calls that must not wait (leases, claims) may use the process's whole rate or
// nearly all of it; calls that can wait leave a part of it for urgent ones.

#include <cstdint>

#include "libperidotreach/time.h"

namespace peridotreach {

// Priorities of store calls, the most urgent first.
enum class StorePriority : std::uint8_t {
  kLease = 0,
  kClaim = 1,
  kConfiguration = 2,
  kLedger = 3,
};

// A token bucket that holds up to `burst_calls` calls.
struct StoreRateLimiter {
  double calls_per_second = 2;
  double burst_calls = 20;
  double available_calls = 20;
  Millis refilled_at = 0;

  bool operator==(const StoreRateLimiter&) const = default;
};

// Takes one call from `limiter` at `now`. Returns false if a call of this
// priority must wait.
bool try_take_call(StoreRateLimiter& limiter, StorePriority priority,
                   Millis now);

// Returns the time until a call of this priority is allowed.
Millis delay_until_call(const StoreRateLimiter& limiter, StorePriority priority,
                        Millis now);

}  // namespace peridotreach
