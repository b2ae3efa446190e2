#include "libperidotreach/caller_counters.h"

#include <algorithm>

namespace peridotreach {

void charge(CallerCounters& counters, const std::string& caller, double tokens,
            double share) {
  counters.served[caller] += tokens / (share > 0 ? share : 1);
}

void raise_to_virtual_time(CallerCounters& counters,
                           const std::string& caller) {
  double& served = counters.served[caller];
  served = std::max(served, counters.virtual_time);
}

std::string next_caller(const CallerCounters& counters,
                        const std::vector<std::string>& waiting) {
  std::string lowest;
  double lowest_served = 0;
  for (const std::string& caller : waiting) {
    const auto found = counters.served.find(caller);
    const double served = found == counters.served.end() ? 0 : found->second;
    if (!lowest.empty() && served >= lowest_served) continue;
    lowest = caller;
    lowest_served = served;
  }
  return lowest;
}

void advance_virtual_time(CallerCounters& counters, const std::string& caller) {
  const auto found = counters.served.find(caller);
  if (found == counters.served.end()) return;
  counters.virtual_time = std::max(counters.virtual_time, found->second);
}

}  // namespace peridotreach
