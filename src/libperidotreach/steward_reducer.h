#pragma once

// The steward reducer: holds the lease of a scope, reads what endpoints run
// and orders what they should run. Endpoints that check the fencing number
// refuse an old holder; for the others time protects: a holder stops before
// its lease can have lapsed, and a new one waits before its first order.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libperidotreach/rollout.h"
#include "libperidotreach/steward_effect.h"
#include "libperidotreach/steward_event.h"

namespace peridotreach {

// Life of a steward's lease, and the margin for clocks and slow orders.
inline constexpr Millis kStewardLeaseDuration = 12 * kSecond;
inline constexpr Millis kStewardLeaseMargin = 4 * kSecond;

// Least time between orders of one scope: loads share the weight store.
inline constexpr Millis kMinOrderInterval = kSecond;

// One scope in a steward process.
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
  // When each endpoint was ordered to change last.
  std::map<std::string, Millis> last_order_by_endpoint;
};

// All state of one steward process.
struct StewardState {
  std::string vm;
  std::string zone;
  std::string region;
  FleetConfig config;
  FleetView view;
  std::map<std::string, ScopeState> scopes;
  Millis now = 0;
};

// The next state and what is to be done.
struct StewardStep {
  StewardState state;
  std::vector<StewardEffect> effects;
};

// Returns the state of a steward that has just started.
StewardState initial_steward_state(const std::string& vm,
                                   const std::string& zone,
                                   const std::string& region);

// Applies `event` to `state`.
StewardStep reduce(StewardState state, const StewardEvent& event);

// Returns whether orders of the scope may be sent at `now`.
bool may_send_orders(const ScopeState& scope, Millis now);

}  // namespace peridotreach
