#pragma once

// Weighted fair queueing between the callers of a rank by virtual token
// counters: the service that each caller received, divided by its share. The
// caller with the lowest counter is served next, so a caller that floods the
// queue delays only its own requests.

#include <map>
#include <string>
#include <vector>

namespace peridotreach {

// Counters of one rank, in tokens divided by share. `virtual_time` is the
// highest counter that any caller had when one of its requests was granted.
struct CallerCounters {
  std::map<std::string, double> served;
  double virtual_time = 0;

  bool operator==(const CallerCounters&) const = default;
};

// Charges `caller` with `tokens`, divided by its `share`. Negative values
// correct an earlier estimate.
void charge(CallerCounters& counters, const std::string& caller, double tokens,
            double share);

// Raises the counter of a caller that was idle to the virtual time, so that it
// cannot burst with service that it did not use while idle.
void raise_to_virtual_time(CallerCounters& counters, const std::string& caller);

// Returns the caller in `waiting` with the lowest counter, or an empty name if
// `waiting` is empty.
std::string next_caller(const CallerCounters& counters,
                        const std::vector<std::string>& waiting);

// Advances the virtual time to the counter of `caller`, which has a request
// granted.
void advance_virtual_time(CallerCounters& counters, const std::string& caller);

}  // namespace peridotreach
