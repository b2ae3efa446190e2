#pragma once

// Virtual token counters: service received by each caller of a rank divided
// by its share. The caller with the lowest counter is served next, so one
// caller's flood waits behind itself.

#include <map>
#include <string>
#include <vector>

namespace peridotreach {

// Counters of one rank, in tokens divided by share.
struct CallerCounters {
  std::map<std::string, double> served;
  double virtual_time = 0;

  bool operator==(const CallerCounters&) const = default;
};

// Adds `tokens`, which may be negative to correct an expectation.
void charge(CallerCounters& counters, const std::string& caller, double tokens,
            double share);

// Raises the counter of a caller that was idle to the level of the callers
// being served, so that idleness earns no later burst.
void raise_to_virtual_time(CallerCounters& counters, const std::string& caller);

// Returns the caller of `waiting` with the lowest counter, or an empty name.
std::string next_caller(const CallerCounters& counters,
                        const std::vector<std::string>& waiting);

// Notes that `caller` was chosen, which sets the level for `lift`.
void advance_virtual_time(CallerCounters& counters, const std::string& caller);

}  // namespace peridotreach
