#pragma once

// Budget of requests that are sent to a second endpoint, repeats and
// generations that go on elsewhere alike. All processes share it: each tells
// the others what it has used and takes no more at a time than its part of
// what is left, so nothing has to be agreed on.

#include <cstddef>
#include <cstdint>
#include <deque>

#include "libperidotreach/time.h"

namespace peridotreach {

// The part of the budget that is used. The rest covers news that is late.
inline constexpr double kUsableBudgetShare = 0.9;

// Time after which all processes have heard of a repeat: the interval of
// digests between availability zones in a fleet of sixty.
inline constexpr Millis kRetryReportDelay = kSecond;

// What the whole fleet may repeat of one service.
struct RetryBudgetLimits {
  // Repeats for each request within a window.
  double ratio = 0.2;
  // Repeats in a window beside the ratio, for the whole fleet.
  double slack = 50;
  Millis window = 10 * kSecond;

  bool operator==(const RetryBudgetLimits&) const = default;
};

// Requests and repeats of one service within the window.
struct SharedRetryBudget {
  std::deque<Millis> requests;
  std::deque<Millis> retries;

  bool operator==(const SharedRetryBudget&) const = default;
};

// Requests and repeats that one process counts within the window.
struct RetryCounts {
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;

  bool operator==(const RetryCounts&) const = default;
};

// What the other processes have told.
struct PeerRetryCounts {
  // Processes that draw on the budget at the same time, this one among them.
  std::size_t process_count = 1;
  RetryCounts counts;

  bool operator==(const PeerRetryCounts&) const = default;
};

// Returns the requests and repeats within the window that ends at `now`.
RetryCounts retry_counts_at(const SharedRetryBudget& budget,
                            const RetryBudgetLimits& allowance, Millis now);

// Notes a first send at `now`.
void record_request(SharedRetryBudget& budget,
                    const RetryBudgetLimits& allowance, Millis now);

// Takes one repeat at `now` if there is one left for this process.
bool try_take_shared_retry(SharedRetryBudget& budget,
                           const RetryBudgetLimits& allowance,
                           const PeerRetryCounts& peers, Millis now);

}  // namespace peridotreach
