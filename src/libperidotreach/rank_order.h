#pragma once

// Order in which ranks are served: the most urgent first, except that ranks
// below their configured floor go before all others until they have reached it.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

// Time constant of the decayed token counts that floors are compared with.
inline constexpr Millis kFloorWindow = 20 * kSecond;

// Demand and received service of one rank. `floor` is the guaranteed fraction
// of 1; `window_tokens` are recently produced tokens; `running` counts
// generations.
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

// Returns whether `rank` receives less than its floor. `total_tokens` and
// `total_running` are sums over all ranks.
bool below_floor(const RankDemand& rank, double total_tokens,
                 double total_running);

// Returns the token count of a window after it decayed for `elapsed`.
double decayed_window(double tokens, Millis elapsed);

}  // namespace peridotreach
