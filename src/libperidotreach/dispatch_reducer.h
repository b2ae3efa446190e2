#pragma once

// The dispatch reducer. Keeps a queue for each cell and derives grants,
// refusals, withdrawals and credits from entry reports, endpoint load and time.
// It is a pure function without clock, I/O or randomness.

#include <vector>

#include "libperidotreach/dispatch_effect.h"
#include "libperidotreach/dispatch_event.h"
#include "libperidotreach/dispatch_state.h"

namespace peridotreach {

// The next state and the effects to execute.
struct DispatchStep {
  DispatchState state;
  std::vector<DispatchEffect> effects;
};

// Returns the state of a dispatcher on `vm` before its first event.
DispatchState initial_dispatch_state(const std::string& vm,
                                     DispatchPolicy policy);

// Applies `event` to `state`, then issues grants and credits that became
// possible.
DispatchStep reduce(DispatchState state, const DispatchEvent& event);

}  // namespace peridotreach
