#include "libperidotreach/caller_counters.h"

#include <algorithm>

namespace peridotreach {

void charge(CallerCounters& counters, const std::string& caller, double tokens,
            double share) {
  counters.served[caller] += tokens / (share > 0 ? share : 1);
}

void lift(CallerCounters& counters, const std::string& caller) {
  double& served = counters.served[caller];
  served = std::max(served, counters.last_start);
}

std::string next_caller(const CallerCounters& counters,
                        const std::vector<std::string>& waiting) {
  std::string best;
  double best_served = 0;
  for (const std::string& caller : waiting) {
    const auto found = counters.served.find(caller);
    const double served = found == counters.served.end() ? 0 : found->second;
    if (!best.empty() && served >= best_served) continue;
    best = caller;
    best_served = served;
  }
  return best;
}

void note_start(CallerCounters& counters, const std::string& caller) {
  const auto found = counters.served.find(caller);
  if (found == counters.served.end()) return;
  counters.last_start = std::max(counters.last_start, found->second);
}

}  // namespace peridotreach
