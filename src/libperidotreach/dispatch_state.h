#pragma once

// State of the dispatch reducer.

#include <cstdint>
#include <map>
#include <string>

#include "libperidotreach/cell_state.h"
#include "libperidotreach/fleet_config.h"
#include "libperidotreach/fleet_view.h"

namespace peridotreach {

// How requests are ordered and placed on endpoints.
enum class DispatchPolicy : std::uint8_t {
  // Orders by ranks, floors and shares; places by projected memory and step
  // time.
  kFull = 0,
  // Orders by arrival; places on the endpoint with the fewest requests.
  kBaseline = 1,
};

// An entry from which the dispatcher received reports.
struct KnownEntry {
  std::uint64_t incarnation = 0;
  Millis last_report_at = 0;
};

// All state of one dispatch process.
struct DispatchState {
  std::string vm;
  DispatchPolicy policy = DispatchPolicy::kFull;
  FleetConfig config;
  FleetView view;
  std::map<std::string, CellState> cells;
  std::map<std::string, KnownEntry> entries;
  Millis now = 0;
  Millis last_tick_at = 0;
};

}  // namespace peridotreach
