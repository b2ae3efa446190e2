#pragma once

// Load, cache and loss of the endpoints of one cell.

#include "libperidotreach/cell_queue.h"
#include "libperidotreach/cell_state.h"
#include "libperidotreach/dispatch_event.h"

namespace peridotreach {

// Applies a load report: capacity, speed, preemptions, a restart.
void apply_load(CellState& cell, const CellContext& context,
                const LoadReported& report);

// Applies cache events; a gap in the sequence lowers trust in the cache.
void apply_cache(CellState& cell, const CacheReported& report, Millis now);

// Applies the loss of an endpoint.
void apply_endpoint_down(CellState& cell, const CellContext& context,
                         const EndpointDown& down);

// Brings the cell's endpoints to `view`; watches new ones, drops old ones.
void apply_view(CellState& cell, const CellContext& context,
                const FleetView& view);

}  // namespace peridotreach
