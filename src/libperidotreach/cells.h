#pragma once

// Cells: groups of endpoints of one service in one region, usually at most
// kMaxCellEndpoints, each served by one dispatcher. Cells and their dispatchers
// are derived from the fleet view by rendezvous hashing, so that a change of
// one VM or endpoint reassigns few others. Two dispatchers that serve the same
// cell at once reduce efficiency, not correctness.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/fleet_view.h"

namespace peridotreach {

// Intended upper limit of the endpoints in one cell.
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

// Returns the cells of all endpoints in `view`, sorted by service, region and
// number within the region.
std::vector<Cell> cells_of(const FleetView& view);

// Returns the VMs of the cell's region in order of preference as its
// dispatcher; leaving VMs come last. Returns all VMs of the fleet if the region
// has none.
std::vector<std::string> dispatcher_preference(const std::string& cell_id,
                                               const std::string& region,
                                               const FleetView& view);

}  // namespace peridotreach
