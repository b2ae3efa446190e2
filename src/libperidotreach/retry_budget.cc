#include "libperidotreach/retry_budget.h"

#include <algorithm>

namespace peridotreach {
namespace {

// Retries that each first attempt adds to the budget.
constexpr double kRetriesPerFirstAttempt = 0.1;
constexpr double kMaxAvailableRetries = 50;

// Base of the exponential backoff, and the most times that it is doubled.
constexpr Millis kBaseRetryDelay = 50;
constexpr std::uint32_t kMaxDoublings = 5;

}  // namespace

void record_first_attempt(RetryBudget& budget) {
  budget.available_retries = std::min(
      kMaxAvailableRetries, budget.available_retries + kRetriesPerFirstAttempt);
}

bool try_take_retry(RetryBudget& budget) {
  if (budget.available_retries < 1) return false;
  budget.available_retries -= 1;
  return true;
}

Millis retry_delay(std::uint32_t attempt, std::uint64_t random) {
  const std::uint32_t doublings = std::min(attempt, kMaxDoublings);
  const auto bound = static_cast<std::uint64_t>(kBaseRetryDelay << doublings);
  return static_cast<Millis>(random % bound);
}

}  // namespace peridotreach
