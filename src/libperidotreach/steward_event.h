#pragma once

// Events of the steward reducer. `scope` is REGION/SERVICE, the unit of its
// leases.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libperidotreach/fleet_config.h"
#include "libperidotreach/fleet_view.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// The lease of a scope was won or renewed by a call that began at
// `asked_at`; `fencing` is its number.
struct LeaseObtained {
  std::string scope;
  std::int64_t fencing_token = 0;
  Millis requested_at = 0;
};

// The lease of a scope is another's or could not be renewed.
struct LeaseUnavailable {
  std::string scope;
};

// What an endpoint runs, as read back.
struct EndpointModelsRead {
  std::string endpoint;
  bool reachable = false;
  std::vector<std::string> models;
  std::int64_t fencing_token = 0;
};

// An order was answered.
struct OrderAnswered {
  std::string endpoint;
  bool accepted = false;
  bool stale_fencing_token = false;
};

// A new view or configuration.
struct StewardViewChanged {
  FleetView view;
};
struct StewardConfigChanged {
  FleetConfig config;
};

// Time went on.
struct StewardTicked {
  std::uint8_t unused = 0;
};

// One event and its time.
struct StewardEvent {
  Millis at = 0;
  std::variant<StewardTicked, LeaseObtained, LeaseUnavailable,
               EndpointModelsRead, OrderAnswered, StewardViewChanged,
               StewardConfigChanged>
      body;
};

}  // namespace peridotreach
