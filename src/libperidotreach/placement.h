#pragma once

// Choice of an endpoint for a request. An endpoint must run the model, be in
// service, keep its step time within the target and have room for the projected
// memory. Among those, the one with the lowest expected delay is chosen, which
// accounts for the prompt tokens in its prefix cache.

#include <string>

#include "libperidotreach/cell_state.h"
#include "libperidotreach/dispatch_effect.h"
#include "libperidotreach/fleet_config.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// Limits that apply to requests of one rank. `slot_share` and `memory_share`
// are the fractions of an endpoint's slots and memory that the rank may fill.
struct PlacementLimits {
  double step_target_ms = 47;
  double slot_share = 1;
  double memory_share = 1;
  // Fraction of the cell's memory margin that applies to this rank.
  double margin_share = 1;

  bool operator==(const PlacementLimits&) const = default;
};

// The endpoint chosen; `endpoint` is empty if none fits.
struct PlacementChoice {
  std::string endpoint;
  GrantReason reason = GrantReason::kRankOrder;

  bool operator==(const PlacementChoice&) const = default;
};

// Returns the limits for `rank`. The step time target is the shortest token gap
// target of all ranks, since they share batches, and the headroom of more
// urgent ranks stays free.
PlacementLimits placement_limits(const FleetConfig& config,
                                 const RankPolicy& rank);

// Returns the estimated number of generations on `endpoint`, corrected for the
// delay of its load report.
double estimated_batch(const CellState& cell, const CellEndpoint& endpoint);

// Returns the largest batch of `endpoint` that keeps to `step_target_ms`.
double slot_limit(const CellEndpoint& endpoint, double step_target_ms);

// Returns whether `endpoint` runs the model of `item`, is in service or due for
// a probe, and is not excluded for it.
bool is_eligible(const CellEndpoint& endpoint, const QueuedRequest& item,
                 Millis now);

// Recomputes an endpoint's memory projection if it is outdated.
void refresh_projection(const CellState& cell, CellEndpoint& endpoint,
                        Millis now);

// Chooses an endpoint for `item` within `limits`. Refreshes outdated memory
// projections in `cell`.
PlacementChoice place(CellState& cell, const QueuedRequest& item,
                      const PlacementLimits& limits, Millis now);

// Chooses the endpoint with the fewest running requests, as the baseline policy
// does.
PlacementChoice place_least_connections(const CellState& cell,
                                        const QueuedRequest& item, Millis now);

}  // namespace peridotreach
