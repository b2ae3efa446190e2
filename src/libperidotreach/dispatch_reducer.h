#pragma once

// The dispatch reducer: one queue for each cell, and the grants, refusals and
// withdrawals that follow from reports, load and time. Pure: no clock, no
// I/O, no randomness.

#include <vector>

#include "libperidotreach/dispatch_effect.h"
#include "libperidotreach/dispatch_event.h"
#include "libperidotreach/dispatch_state.h"

namespace peridotreach {

// The next state and what is to be done.
struct DispatchStep {
  DispatchState state;
  std::vector<DispatchEffect> effects;
};

// Returns the state of a dispatcher that knows nothing yet.
DispatchState initial_dispatch_state(const std::string& vm,
                                     DispatchPolicy policy);

// Applies `event` to `state`.
DispatchStep reduce(DispatchState state, const DispatchEvent& event);

}  // namespace peridotreach
