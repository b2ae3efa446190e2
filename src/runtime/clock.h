#pragma once

// Clocks of the process; only the runtime reads them.

#include <cstdint>

#include "libperidotreach/time.h"
#include "runtime/asio.h"

namespace peridotreach {

// Milliseconds since the VM booted, with the time that it was suspended.
Millis monotonic_now();

// Milliseconds since the epoch.
std::uint64_t wall_now_ms();

// Minutes since the epoch.
std::uint64_t wall_minute();

// A random 64-bit number.
std::uint64_t random_number();

// Completes when the timer is cancelled.
awaitable<void> wait_cancelled(asio::steady_timer& timer);

// Completes after `duration`.
awaitable<void> sleep_for(Millis duration);

}  // namespace peridotreach
