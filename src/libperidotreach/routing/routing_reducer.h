#pragma once

// The routing reducer: from a caller's request to the endpoint that takes it,
// through retries and moves, to its one outcome.

#include <vector>

#include "libperidotreach/routing/routing_effect.h"
#include "libperidotreach/routing/routing_event.h"
#include "libperidotreach/routing/routing_state.h"

namespace peridotreach {

// The state after an event and what has to be done.
struct RoutingStep {
  RoutingState state;
  std::vector<RoutingEffect> effects;
};

// Returns the state of a process that has just started.
RoutingState initial_routing_state(const RoutingConfig& self);

// Applies one event.
RoutingStep reduce(RoutingState state, const RoutingEvent& event);

}  // namespace peridotreach
