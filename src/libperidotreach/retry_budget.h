#pragma once

// Budget of retries as a share of first attempts, and the delay before one.

#include <cstdint>

#include "libperidotreach/time.h"

namespace peridotreach {

// Tokens saved up by first attempts and spent by retries.
struct RetryBudget {
  double available_retries = 10;

  bool operator==(const RetryBudget&) const = default;
};

template <class F>
auto inspect(F& f, RetryBudget& x) {
  return f(x.available_retries);
}

// Notes a first attempt.
void record_first_attempt(RetryBudget& budget);

// Takes one retry from the budget. Returns false if it is spent.
bool try_take_retry(RetryBudget& budget);

// Returns a delay drawn evenly from nothing to the exponential bound of
// `attempt` (1 for the first retry); `random` is a uniform 64-bit number.
Millis retry_delay(std::uint32_t attempt, std::uint64_t random);

}  // namespace peridotreach
