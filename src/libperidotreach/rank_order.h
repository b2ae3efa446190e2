#pragma once

// Order of ranks: the most urgent first, except that a rank below the floor
// its sheet gives it goes before all others until it has reached it.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

// Window over which floors are kept.
inline constexpr Millis kFloorWindow = 20 * kSecond;

// What the choice needs to know of one rank.
struct RankDemand {
  std::uint32_t order = 0;
  double floor = 0;
  double window_tokens = 0;
  double running = 0;
  bool waiting = false;

  bool operator==(const RankDemand&) const = default;
};

// Returns the indices of the waiting ranks in the order in which they should
// be tried.
std::vector<std::size_t> rank_order(const std::vector<RankDemand>& ranks);

// Returns whether `rank` has less than its floor. `total_tokens` and
// `total_running` are sums over all ranks.
bool below_floor(const RankDemand& rank, double total_tokens,
                 double total_running);

// Decays the tokens of a window that was last advanced `elapsed` ago.
double decayed_window(double tokens, Millis elapsed);

}  // namespace peridotreach
