#pragma once

// Effects of the steward reducer.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace peridotreach {

// Tries to win or renew the lease of a scope.
struct SeekLease {
  std::string scope;

  bool operator==(const SeekLease&) const = default;
};

// Reads what an endpoint runs.
struct ReadEndpoint {
  std::string endpoint;

  bool operator==(const ReadEndpoint&) const = default;
};

// Orders an endpoint to run exactly `runs`.
struct SendOrder {
  std::string endpoint;
  std::vector<std::string> runs;
  std::int64_t fencing = 0;

  bool operator==(const SendOrder&) const = default;
};

using StewardEffect = std::variant<SeekLease, ReadEndpoint, SendOrder>;

}  // namespace peridotreach
