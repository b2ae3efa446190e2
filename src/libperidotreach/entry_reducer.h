#pragma once

// The entry reducer: owns each request's life from receipt to its one
// outcome. Pure: no clock, no I/O, no randomness of its own.

#include <vector>

#include "libperidotreach/entry_effect.h"
#include "libperidotreach/entry_event.h"
#include "libperidotreach/entry_state.h"

namespace peridotreach {

// The next state and what is to be done.
struct EntryStep {
  EntryState state;
  std::vector<EntryEffect> effects;
};

// Returns the state of an entry process that has just started.
EntryState initial_entry_state(const EntryIdentity& self);

// Applies `event` to `state`.
EntryStep reduce(EntryState state, const EntryEvent& event);

}  // namespace peridotreach
