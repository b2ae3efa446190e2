#include "libperidotreach/retry_budget.h"

#include <algorithm>

namespace peridotreach {
namespace {

// Retries allowed for each first attempt.
constexpr double kShare = 0.1;
constexpr double kMostSaved = 50;
constexpr Millis kBaseDelay = 50;
constexpr std::uint32_t kMostDoublings = 5;

}  // namespace

void record_first_attempt(RetryBudget& budget) {
  budget.available_retries =
      std::min(kMostSaved, budget.available_retries + kShare);
}

bool try_take_retry(RetryBudget& budget) {
  if (budget.available_retries < 1) return false;
  budget.available_retries -= 1;
  return true;
}

Millis retry_delay(std::uint32_t attempt, std::uint64_t random) {
  const std::uint32_t doublings = std::min(attempt, kMostDoublings);
  const auto bound = static_cast<std::uint64_t>(kBaseDelay << doublings);
  return static_cast<Millis>(random % bound);
}

}  // namespace peridotreach
