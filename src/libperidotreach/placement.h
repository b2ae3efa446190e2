#pragma once

// Choice of an endpoint for a request: it must run the model, be in service,
// keep its step time within the target and have room for the projected
// memory; among those, the one with the least expected delay, less what its
// prefix cache saves.

#include <string>

#include "libperidotreach/cell_state.h"
#include "libperidotreach/dispatch_effect.h"
#include "libperidotreach/fleet_config.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// Limits that the request's rank is held to.
struct PlacementLimits {
  double step_target_ms = 47;
  double slot_share = 1;
  double memory_share = 1;
  // Part of the cell's memory margin that this rank keeps.
  double margin_share = 1;

  bool operator==(const PlacementLimits&) const = default;
};

// The endpoint chosen; `endpoint` is empty if none fits.
struct PlacementChoice {
  std::string endpoint;
  GrantReason reason = GrantReason::kRankOrder;

  bool operator==(const PlacementChoice&) const = default;
};

// Returns the limits for work of `rank`: all ranks keep the tightest time
// between tokens, and more urgent ranks' headroom stays free.
PlacementLimits placement_limits(const FleetConfig& config,
                                 const RankPolicy& rank);

// Returns the generations on `endpoint`, corrected for the report's lag.
double estimated_batch(const CellState& cell, const CellEndpoint& endpoint);

// Returns the slots of `endpoint` within `step_target_ms`.
double slot_limit(const CellEndpoint& endpoint, double step_target_ms);

// Returns whether `endpoint` runs the model of `item` and may take it.
bool is_eligible(const CellEndpoint& endpoint, const QueuedRequest& item,
                 Millis now);

// Computes an endpoint's memory projection anew if it is old.
void refresh_projection(const CellState& cell, CellEndpoint& endpoint,
                        Millis now);

// Chooses an endpoint for `item`. Refreshes projections in `cell`.
PlacementChoice place(CellState& cell, const QueuedRequest& item,
                      const PlacementLimits& limits, Millis now);

// Chooses the endpoint with the fewest connections, as the baseline does.
PlacementChoice place_least_connections(const CellState& cell,
                                        const QueuedRequest& item, Millis now);

}  // namespace peridotreach
