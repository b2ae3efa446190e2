#include "libperidotreach/rank_order.h"

#include <algorithm>
#include <cmath>

namespace peridotreach {

bool below_floor(const RankDemand& rank, double total_tokens,
                 double total_running) {
  if (rank.floor <= 0) return false;
  // The share of tokens follows the share of running generations with a delay,
  // so the floor is enforced on running generations. A rank whose tokens are
  // below the floor may run up to twice its floor until it has caught up.
  const double share =
      total_tokens > 0 ? rank.window_tokens / total_tokens : rank.floor;
  const double deficit = std::clamp(rank.floor - share, 0.0, rank.floor);
  const double target_running = (rank.floor + deficit) * (total_running + 1);
  return rank.running < target_running;
}

std::vector<std::size_t> rank_order(const std::vector<RankDemand>& ranks) {
  double total_tokens = 0;
  double total_running = 0;
  for (const RankDemand& rank : ranks) {
    total_tokens += rank.window_tokens;
    total_running += rank.running;
  }
  std::vector<std::size_t> first;
  std::vector<std::size_t> rest;
  for (std::size_t i = 0; i < ranks.size(); ++i) {
    if (!ranks[i].waiting) continue;
    const bool is_below_floor =
        below_floor(ranks[i], total_tokens, total_running);
    (is_below_floor ? first : rest).push_back(i);
  }
  const auto by_order = [&](std::size_t a, std::size_t b) {
    return ranks[a].order < ranks[b].order;
  };
  std::sort(first.begin(), first.end(), by_order);
  std::sort(rest.begin(), rest.end(), by_order);
  first.insert(first.end(), rest.begin(), rest.end());
  return first;
}

double decayed_window(double tokens, Millis elapsed) {
  const double ratio = static_cast<double>(elapsed) / kFloorWindow;
  return tokens * std::exp(-ratio);
}

}  // namespace peridotreach
