#pragma once

// The routing reducer takes a caller's request through placement, retries and
// moves to exactly one outcome.

#include <cstddef>
#include <vector>

#include "libperidotreach/routing/routing_effect.h"
#include "libperidotreach/routing/routing_event.h"
#include "libperidotreach/routing/routing_state.h"

namespace peridotreach {

// The state after an event and the effects to perform.
struct RoutingStep {
  RoutingState state;
  std::vector<RoutingEffect> effects;
};

// Returns the initial state of a process.
RoutingState initial_routing_state(const RoutingConfig& config);

// Applies one event.
RoutingStep reduce(RoutingState state, const RoutingEvent& event);

// Returns whether requests are sent to endpoints through peers, as this process
// reaches no endpoint itself.
bool sends_through_peers(const RoutingState& state);

// Returns the limits of endpoints to report to peers.
std::vector<ObservedLimit> reported_limits(const RoutingState& state);

// Returns the speeds of endpoints to report to peers: those that this process
// measured itself, while endpoints differ.
std::vector<ObservedSpeed> reported_speeds(const RoutingState& state);

// Returns how many listed engines are slower than the median of their service,
// including those that have not shown their speed; 0 while engines hardly
// differ.
std::size_t slow_endpoint_count(const RoutingState& state);

}  // namespace peridotreach
