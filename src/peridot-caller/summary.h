#pragma once

// Figures of a run, by rank and by caller.

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <vector>

#include "peridot-caller/request_record.h"

namespace peridotreach {

// Gap between tokens beyond which the excess counts as stall, in
// milliseconds.
inline constexpr double kStallGapMs = 500;

// Returns all figures. `deadlines` are the ranks' start deadlines in
// milliseconds; requests that arrived before `remaining_warm_up` are left out.
boost::json::object summarize(const std::vector<RequestRecord>& records,
                              const std::map<std::string, double>& deadlines,
                              double start, double warm_up);

// Returns a table of the figures by rank and by caller.
std::string print_summary(const boost::json::object& summary);

}  // namespace peridotreach
