#pragma once

// Events of the steward reducer. Each lease covers one `scope`, written as
// REGION/SERVICE.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libperidotreach/fleet_config.h"
#include "libperidotreach/fleet_view.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// The lease of a scope was acquired or renewed by a call that started at
// `requested_at`. `fencing_token` changes when the lease is newly acquired.
struct LeaseObtained {
  std::string scope;
  std::int64_t fencing_token = 0;
  Millis requested_at = 0;
};

// The lease of a scope is held by another steward or could not be renewed.
struct LeaseUnavailable {
  std::string scope;
};

// Reports the models read from an endpoint. `models` is valid only if the
// endpoint is `reachable`.
struct EndpointModelsRead {
  std::string endpoint;
  bool reachable = false;
  std::vector<std::string> models;
  std::int64_t fencing_token = 0;
};

// Outcome of an order. `accepted` is false if the endpoint refused the order or
// did not answer; `stale_fencing_token` is set if it refused the order because
// of an outdated fencing token.
struct OrderAnswered {
  std::string endpoint;
  bool accepted = false;
  bool stale_fencing_token = false;
};

// A new view of the fleet.
struct StewardViewChanged {
  FleetView view;
};

// A new configuration.
struct StewardConfigChanged {
  FleetConfig config;
};

// Periodic tick.
struct StewardTicked {
  std::uint8_t unused = 0;
};

// An event and the time at which it occurred.
struct StewardEvent {
  Millis at = 0;
  std::variant<StewardTicked, LeaseObtained, LeaseUnavailable,
               EndpointModelsRead, OrderAnswered, StewardViewChanged,
               StewardConfigChanged>
      body;
};

}  // namespace peridotreach
