#pragma once

// Retry budget as a share of first attempts, and the backoff before a retry.

#include <cstdint>

#include "libperidotreach/time.h"

namespace peridotreach {

// Retries available; increased by first attempts and decreased by retries.
struct RetryBudget {
  double available_retries = 10;

  bool operator==(const RetryBudget&) const = default;
};

template <class F>
auto inspect(F& f, RetryBudget& x) {
  return f(x.available_retries);
}

// Adds the share of a retry that a first attempt allows.
void record_first_attempt(RetryBudget& budget);

// Takes one retry from the budget. Returns false if none is available.
bool try_take_retry(RetryBudget& budget);

// Returns an exponential backoff with full jitter: a delay uniform between 0
// and the bound of `attempt` (1 for the first retry). `random` is a uniform
// 64-bit number.
Millis retry_delay(std::uint32_t attempt, std::uint64_t random);

}  // namespace peridotreach
