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
struct LeaseHeld {
  std::string scope;
  std::int64_t fencing = 0;
  Millis asked_at = 0;
};

// The lease of a scope is another's or could not be renewed.
struct LeaseMissed {
  std::string scope;
};

// What an endpoint runs, as read back.
struct EndpointWasRead {
  std::string endpoint;
  bool reachable = false;
  std::vector<std::string> runs;
  std::int64_t fencing = 0;
};

// An order was answered.
struct OrderAnswered {
  std::string endpoint;
  bool accepted = false;
  bool old_fencing = false;
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
  std::variant<StewardTicked, LeaseHeld, LeaseMissed, EndpointWasRead,
               OrderAnswered, StewardViewChanged, StewardConfigChanged>
      body;
};

}  // namespace peridotreach
