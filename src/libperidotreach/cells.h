#pragma once

// Cells: groups of at most kCellSize endpoints of one service in one region,
// each served by one dispatcher. Cells and their dispatchers follow from the
// view by rendezvous hashing, so that a change of one VM or endpoint moves
// little else. Two dispatchers of one cell at once cost efficiency only.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/fleet_view.h"

namespace peridotreach {

// The most endpoints in one cell.
inline constexpr std::size_t kMaxCellEndpoints = 24;

// One cell and its endpoints, sorted by id.
struct Cell {
  std::string id;
  std::string service;
  std::string region;
  std::vector<std::string> endpoints;

  bool operator==(const Cell&) const = default;
};

// Returns the stable 64-bit hash of `text` with `seed`.
std::uint64_t stable_hash(const std::string& text, std::uint64_t seed = 0);

// Returns the cells of all endpoints in `view`, sorted by id.
std::vector<Cell> cells_of(const FleetView& view);

// Returns the VMs of the cell's region in the order in which they should
// dispatch it, first choice first; leaving VMs come last. Falls back on all
// VMs if the region has none.
std::vector<std::string> dispatcher_preference(const std::string& cell_id,
                                               const std::string& region,
                                               const FleetView& view);

}  // namespace peridotreach
