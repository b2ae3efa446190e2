#pragma once

// Budget of requests that are sent to a second endpoint. All processes share
// it by each taking the part that its own traffic and the number of processes
// give it, so nothing has to be agreed on.

#include <cstddef>
#include <cstdint>
#include <deque>

#include "libperidotreach/time.h"

namespace peridotreach {

// The part of its budget that a process uses. The rest covers traffic that
// moves between processes within a window.
inline constexpr double kBudgetMargin = 0.8;

// What the whole fleet may repeat of one service.
struct RetryAllowance {
  // Repeats for each request within a window.
  double ratio = 0.2;
  // Repeats in a window beside the ratio, for the whole fleet.
  double slack = 50;
  Millis window = 10 * kSecond;

  bool operator==(const RetryAllowance&) const = default;
};

// Requests and repeats of one service within the window.
struct RetryBudget {
  std::deque<Millis> requests;
  std::deque<Millis> repeats;

  bool operator==(const RetryBudget&) const = default;
};

// Notes a first send at `now`.
void note_request(RetryBudget& budget, const RetryAllowance& allowance,
                  Millis now);

// Takes one repeat at `now` if there is one left for one of `processes`.
bool take_repeat(RetryBudget& budget, const RetryAllowance& allowance,
                 std::size_t processes, Millis now);

}  // namespace peridotreach
