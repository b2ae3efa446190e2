#pragma once

// Queueing and bookkeeping of one cell: arrivals, progress, ends.

#include <string>
#include <vector>

#include "libperidotreach/cell_state.h"
#include "libperidotreach/dispatch_effect.h"
#include "libperidotreach/fleet_config.h"
#include "libperidotreach/queued_request.h"

namespace peridotreach {

// What every function of a cell needs beside the cell.
struct CellContext {
  const FleetConfig& config;
  Millis now;
  std::vector<DispatchEffect>& effects;
  bool baseline = false;
};

// Admits or refuses a request that arrives. A request already known is
// ignored, so repeated reports are harmless.
void enqueue(CellState& cell, const CellContext& context,
             const QueuedRequest& item);

// Removes a waiting request. Returns whether it was waiting.
bool remove_waiting(CellState& cell, const RequestKey& key);

// Applies an entry's report on a granted request; adopts one that this
// dispatcher does not know.
void apply_progress(CellState& cell, const CellContext& context,
                    const RunProgress& progress);

// Moves a waiting request to `endpoint` and charges its expected cost.
void add_running(CellState& cell, const CellContext& context,
                 const QueuedRequest& item, const std::string& endpoint);

// Forgets a running request and settles its charge against what it produced.
void remove_running(CellState& cell, const FleetConfig& config,
                    const RequestKey& key);

// Forgets all requests of an entry, or of an older incarnation of it.
void remove_entry_requests(CellState& cell, const FleetConfig& config,
                           const std::string& vm,
                           std::uint64_t keep_incarnation);

}  // namespace peridotreach
