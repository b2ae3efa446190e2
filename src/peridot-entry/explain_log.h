#pragma once

// Decisions about recent requests, kept in memory for minutes.

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

// One decision.
struct ExplainEntry {
  std::uint64_t at_ms = 0;
  std::string code;
  std::string detail;
};

// The log; the oldest request is forgotten beyond the bound.
class ExplainLog {
 public:
  void add(std::uint64_t request, const std::string& code,
           const std::string& detail);

  // Returns the decisions about `request`, oldest first.
  std::vector<ExplainEntry> about(std::uint64_t request) const;

 private:
  std::map<std::uint64_t, std::vector<ExplainEntry>> entries_;
  std::deque<std::uint64_t> order_;
};

}  // namespace peridotreach
