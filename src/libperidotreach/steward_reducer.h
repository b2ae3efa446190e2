#pragma once

// The steward reducer holds the lease of each scope, reads the models that the
// endpoints run and orders endpoints to run the configured models. Endpoints
// that check the fencing token refuse orders from a former lease holder. The
// others are protected by time: a holder stops sending orders before its lease
// can have expired, and a new holder waits before it sends its first order.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libperidotreach/rollout.h"
#include "libperidotreach/steward_effect.h"
#include "libperidotreach/steward_event.h"

namespace peridotreach {

// Duration of a steward's lease, and the safety margin for clock differences
// and slow orders.
inline constexpr Millis kStewardLeaseDuration = 12 * kSecond;
inline constexpr Millis kStewardLeaseMargin = 4 * kSecond;

// Minimum time between orders in one scope. It spreads out model loads, which
// share the weight store.
inline constexpr Millis kMinOrderInterval = kSecond;

// State of one scope in a steward process. The holder stops sending orders at
// `lease_valid_until`.
struct ScopeState {
  std::string service;
  std::string region;
  std::int64_t fencing_token = 0;
  Millis lease_valid_until = 0;
  Millis orders_allowed_from = 0;
  Millis lease_requested_at = -kMinute;
  Millis endpoints_read_at = -kMinute;
  Millis last_order_at = -kMinute;
  std::map<std::string, EndpointModels> endpoint_models;
  // Time of the last order to each endpoint.
  std::map<std::string, Millis> last_order_by_endpoint;
};

// Complete state of one steward process.
struct StewardState {
  std::string vm;
  std::string zone;
  std::string region;
  FleetConfig config;
  FleetView view;
  std::map<std::string, ScopeState> scopes;
  Millis now = 0;
};

// The next state and the effects to perform.
struct StewardStep {
  StewardState state;
  std::vector<StewardEffect> effects;
};

// Returns the state of a newly started steward.
StewardState initial_steward_state(const std::string& vm,
                                   const std::string& zone,
                                   const std::string& region);

// Applies `event` to `state` and returns the result.
StewardStep reduce(StewardState state, const StewardEvent& event);

// Returns whether orders for `scope` may be sent at `now`: its lease is held,
// the waiting time of a new holder is over and endpoints have been read.
bool may_send_orders(const ScopeState& scope, Millis now);

}  // namespace peridotreach
