#pragma once

// Statistics of a run, by rank and by caller.

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <vector>

#include "peridot-caller/request_record.h"

namespace peridotreach {

// Gap between tokens, in milliseconds, beyond which the excess counts as stall
// time.
inline constexpr double kStallGapMs = 500;

// Returns the statistics of all requests, by rank, by caller and by both.
// `deadlines` holds the start deadline of each rank; all times are in
// milliseconds. Requests that arrived within `warm_up` of `start` are left out.
boost::json::object summarize(const std::vector<RequestRecord>& records,
                              const std::map<std::string, double>& deadlines,
                              double start, double warm_up);

// Returns a table of the main statistics by rank and by caller.
std::string format_summary(const boost::json::object& summary);

}  // namespace peridotreach
