#pragma once

// Time as the reducers see it: milliseconds of the process's monotonic clock,
// carried by events. No reducer reads a clock.

#include <cstdint>

namespace peridotreach {

// Milliseconds, either a duration or a point on the monotonic clock.
using Millis = std::int64_t;

inline constexpr Millis kSecond = 1000;
inline constexpr Millis kMinute = 60 * kSecond;

}  // namespace peridotreach
