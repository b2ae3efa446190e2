#pragma once

// Log of the decisions about recent requests, for `peridotctl explain`. Kept in
// memory for some minutes only.

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

// One decision about a request and the time at which it was recorded.
struct ExplainEntry {
  std::uint64_t at_ms = 0;
  std::string code;
  std::string detail;
};

// Holds the decisions about a bounded number of requests. Evicts the oldest
// request when the limit is exceeded, and drops further decisions about a
// request that has reached its own limit.
class ExplainLog {
 public:
  void add(std::uint64_t request, const std::string& code,
           const std::string& detail);

  // Returns the decisions about `request`, oldest first; empty if the request
  // is unknown or evicted.
  std::vector<ExplainEntry> decisions_for(std::uint64_t request) const;

 private:
  std::map<std::uint64_t, std::vector<ExplainEntry>> entries_;
  std::deque<std::uint64_t> insertion_order_;
};

}  // namespace peridotreach
