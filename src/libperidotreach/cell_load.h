#pragma once

// Updates the endpoints of one cell from load reports, cache events, crashes
// and the fleet view.

#include "libperidotreach/cell_queue.h"
#include "libperidotreach/cell_state.h"
#include "libperidotreach/dispatch_event.h"

namespace peridotreach {

// Applies a load report. Preemptions raise the memory margin, a new incarnation
// counts as a crash, and a slow endpoint is ejected.
void apply_load(CellState& cell, const CellContext& context,
                const LoadReported& report);

// Applies cache events; a gap in the sequence lowers the confidence in the
// cache contents.
void apply_cache(CellState& cell, const CacheReported& report, Millis now);

// Marks an endpoint as unreachable, and ejects it if it crashed.
void apply_endpoint_down(CellState& cell, const CellContext& context,
                         const EndpointDown& down);

// Updates the cell's endpoints from `view`: watches those that are new or have
// a new address, and removes those that left the cell.
void apply_view(CellState& cell, const CellContext& context,
                const FleetView& view);

}  // namespace peridotreach
