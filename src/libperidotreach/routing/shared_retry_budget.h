#pragma once

// Budget for requests that are sent to a second endpoint, which includes
// retries and moved generations. All processes share it: each one reports its
// usage to the others and, between reports, takes at most an equal part of what
// is left, so no agreement between them is needed.

#include <cstddef>
#include <cstdint>
#include <deque>

#include "libperidotreach/time.h"

namespace peridotreach {

// The share of the budget that is handed out. The rest covers delayed reports.
inline constexpr double kUsableBudgetShare = 0.9;

// Time after which all processes have received the report of a retry in a fleet
// whose processes report to each other.
inline constexpr Millis kRetryReportDelay = kSecond;

// The same where relays sum up the reports: the intervals of a process to its
// relay, between relays, and of a relay to its processes, with a margin.
inline constexpr Millis kRelayedRetryReportDelay = 2500;

// Retry limits of one service, for the whole fleet.
struct RetryBudgetLimits {
  // Retries per request within a window.
  double ratio = 0.2;
  // Retries within a window in addition to `ratio`.
  double slack = 50;
  Millis window = 10 * kSecond;

  bool operator==(const RetryBudgetLimits&) const = default;
};

// Requests and retries of one service within the window.
struct SharedRetryBudget {
  std::deque<Millis> requests;
  std::deque<Millis> retries;

  bool operator==(const SharedRetryBudget&) const = default;
};

// Requests and retries counted by one process within the window.
struct RetryCounts {
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;

  bool operator==(const RetryCounts&) const = default;
};

// Totals reported by the other processes.
struct PeerRetryCounts {
  // Processes that share the budget, including this one.
  std::size_t process_count = 1;
  RetryCounts counts;
  // Time after which the counts include a retry.
  Millis report_delay = kRetryReportDelay;

  bool operator==(const PeerRetryCounts&) const = default;
};

// Returns the requests and retries within the window that ends at `now`.
RetryCounts retry_counts_at(const SharedRetryBudget& budget,
                            const RetryBudgetLimits& limits, Millis now);

// Records the first attempt of a request.
void record_request(SharedRetryBudget& budget, const RetryBudgetLimits& limits,
                    Millis now);

// Takes one retry if this process's part of the budget allows it.
bool try_take_shared_retry(SharedRetryBudget& budget,
                           const RetryBudgetLimits& limits,
                           const PeerRetryCounts& peers, Millis now);

}  // namespace peridotreach
