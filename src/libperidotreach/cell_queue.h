#pragma once

// Queue and running requests of one cell: arrival, progress and end of
// requests.

#include <string>
#include <vector>

#include "libperidotreach/cell_state.h"
#include "libperidotreach/dispatch_effect.h"
#include "libperidotreach/fleet_config.h"
#include "libperidotreach/queued_request.h"

namespace peridotreach {

// Inputs and output shared by the functions of a cell.
struct CellContext {
  const FleetConfig& config;
  Millis now;
  std::vector<DispatchEffect>& effects;
  bool baseline = false;
};

// Queues or refuses an arriving request. Ignores one that already waits, so
// that repeated reports have no effect.
void enqueue(CellState& cell, const CellContext& context,
             const QueuedRequest& item);

// Removes a waiting request. Returns whether it was waiting.
bool remove_waiting(CellState& cell, const RequestKey& key);

// Applies an entry's report on a granted request. Adds an ongoing request that
// this dispatcher does not know.
void apply_progress(CellState& cell, const CellContext& context,
                    const RunProgress& progress);

// Adds a request that runs on `endpoint` and charges its expected cost to the
// caller.
void add_running(CellState& cell, const CellContext& context,
                 const QueuedRequest& item, const std::string& endpoint);

// Removes a running request and corrects its charge to the tokens it produced.
void remove_running(CellState& cell, const FleetConfig& config,
                    const RequestKey& key);

// Removes all requests of an entry except those of `keep_incarnation`.
void remove_entry_requests(CellState& cell, const FleetConfig& config,
                           const std::string& vm,
                           std::uint64_t keep_incarnation);

}  // namespace peridotreach
