#pragma once

// Grants of one cell: which waiting request runs next, and where.

#include "libperidotreach/cell_queue.h"
#include "libperidotreach/cell_state.h"

namespace peridotreach {

// How long a grant may stay unspent.
inline constexpr Millis kGrantLifetime = 2 * kSecond;

// Grants to waiting requests until none fits.
void issue_grants(CellState& cell, const CellContext& context);

// Refuses waiting requests whose deadline comes near and voids grants that
// were not spent.
void expire_requests(CellState& cell, const CellContext& context);

// Advances windows, drain rates and the memory margin by `elapsed`.
void advance_cell(CellState& cell, const CellContext& context, Millis elapsed);

}  // namespace peridotreach
