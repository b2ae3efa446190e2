#pragma once

// Grants of one cell: decides which waiting request runs next, and on which
// endpoint.

#include "libperidotreach/cell_queue.h"
#include "libperidotreach/cell_state.h"

namespace peridotreach {

// Time for which a grant is valid. The dispatcher removes a grant without a
// report after this time and a grace period.
inline constexpr Millis kGrantLifetime = 2 * kSecond;

// Grants waiting requests until none fits an endpoint.
void issue_grants(CellState& cell, const CellContext& context);

// Refuses waiting requests that are about to miss their start deadline, and
// removes unused grants and expired crash records.
void expire_requests(CellState& cell, const CellContext& context);

// Updates token windows, grant rates, memory projections and the memory margin
// after `elapsed`.
void advance_cell(CellState& cell, const CellContext& context, Millis elapsed);

}  // namespace peridotreach
