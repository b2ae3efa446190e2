#pragma once

// Estimates how long a request waits in a placement queue. One that would time
// out is rejected at once, with a Retry-After at which there may be capacity.
// It answers floods that last longer than callers wait.

#include <cstddef>
#include <deque>
#include <optional>

#include "libperidotreach/routing/placement_queue.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// Time over which placements are counted.
inline constexpr Millis kPlacementRateWindow = 3 * kSecond;

// Recent placements of queued requests in one cell, except prioritized ones.
struct PlacementRate {
  std::deque<Millis> in_time;
  std::deque<Millis> late;
  // Since when requests have been queued; 0 while none are.
  Millis queued_since = 0;

  bool operator==(const PlacementRate&) const = default;
};

// Records that a queued request was placed.
void record_placement(PlacementRate& rate, bool is_late, Millis now);

// Records whether requests are queued.
void record_queue_state(PlacementRate& rate, bool has_queued, Millis now);

// Returns the expected wait of a queued request; none if requests have not been
// queued for long enough to tell. A request that will be late before it
// is placed gets only what those in time leave.
std::optional<Millis> expected_wait(const PlacementRate& rate,
                                    const PlacementQueue& queue,
                                    const WaitingPlacement& waiting,
                                    Millis now);

}  // namespace peridotreach
