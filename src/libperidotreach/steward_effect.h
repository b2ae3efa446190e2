#pragma once

// Effects of the steward reducer.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace peridotreach {

// Tries to acquire or renew the lease of a scope.
struct AcquireLease {
  std::string scope;

  bool operator==(const AcquireLease&) const = default;
};

// Reads the models that an endpoint runs.
struct ReadEndpointModels {
  std::string endpoint;

  bool operator==(const ReadEndpointModels&) const = default;
};

// Orders an endpoint to run exactly `models`.
struct SendOrder {
  std::string endpoint;
  std::vector<std::string> models;
  std::int64_t fencing_token = 0;

  bool operator==(const SendOrder&) const = default;
};

using StewardEffect = std::variant<AcquireLease, ReadEndpointModels, SendOrder>;

}  // namespace peridotreach
