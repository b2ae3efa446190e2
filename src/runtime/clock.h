#pragma once

// Clocks, timers and random numbers of the process. Only the runtime reads
// them.

#include <cstdint>

#include "libperidotreach/time.h"
#include "runtime/asio.h"

namespace peridotreach {

// Returns the milliseconds since the VM booted, including time in suspension.
Millis monotonic_now();

// Returns the milliseconds since the Unix epoch.
std::uint64_t wall_now_ms();

// Returns the minutes since the Unix epoch.
std::uint64_t wall_minute();

// Returns a cryptographically random 64-bit number.
std::uint64_t random_number();

// Waits until `timer` is cancelled; never times out.
awaitable<void> wait_until_cancelled(asio::steady_timer& timer);

// Suspends the calling coroutine for `duration`.
awaitable<void> sleep_for(Millis duration);

}  // namespace peridotreach
