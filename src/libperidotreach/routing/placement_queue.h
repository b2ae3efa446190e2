#pragma once

// Queue of requests that wait for memory on the engines of a cell, kept by the
// cell's placement coordinator. It answers floods of long generations: what is
// served first when more arrives than the engines can hold.

#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/routing/routing_event.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// How long a request stays queued after its process last asked for it.
// Processes ask again well within this time.
inline constexpr Millis kPlacementQueueTimeout = 700;

// Interval at which a process asks again for a request that waits.
inline constexpr Millis kPlacementRefreshInterval = 250;

// A request that waits for a placement.
struct WaitingPlacement {
  std::string peer;
  std::uint64_t request = 0;
  PlacementRequirements requirements;
  Millis waiting_since = 0;
  Millis refreshed_at = 0;
  // When it was last passed on to another cell; 0 if it was not.
  Millis forwarded_at = 0;
  // The endpoint for which a permit was requested; empty if none was.
  std::string awaited_permit;

  bool operator==(const WaitingPlacement&) const = default;
};

// Requests that wait, in no order.
using PlacementQueue = std::vector<WaitingPlacement>;

// Adds a request or renews it.
void enqueue_placement(PlacementQueue& queue, const PlacementRequested& event,
                       Millis now);

// Removes a request.
void remove_placement(PlacementQueue& queue, const std::string& peer,
                      std::uint64_t request);

// Removes requests whose processes no longer ask for them.
void expire_placements(PlacementQueue& queue, Millis now);

// Returns whether `left` is served before `right`: prioritized requests first,
// then those that can still meet their objective, then late ones. Among those
// in time, the one that holds the least memory for the least time goes first,
// so that as many as possible are in time; late ones go in order of arrival.
bool is_served_before(const WaitingPlacement& left,
                      const WaitingPlacement& right);

// Returns whether two requests are subject to the same limits, so that one that
// is not smaller cannot be placed if the other could not.
bool has_same_limits(const PlacementRequirements& left,
                     const PlacementRequirements& right);

}  // namespace peridotreach
