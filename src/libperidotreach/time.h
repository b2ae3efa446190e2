#pragma once

// Time type of the reducers: milliseconds on the process's monotonic clock.
// Events carry the current time; reducers never read a clock.

#include <cstdint>

namespace peridotreach {

// Milliseconds, either a duration or a point in time on the monotonic clock.
using Millis = std::int64_t;

inline constexpr Millis kSecond = 1000;
inline constexpr Millis kMinute = 60 * kSecond;

}  // namespace peridotreach
