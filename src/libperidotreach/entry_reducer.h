#pragma once

// The entry reducer: handles each request from receipt to its single outcome.
// It is a pure function: time and randomness come with the events, and effects
// describe the I/O to perform.

#include <vector>

#include "libperidotreach/entry_effect.h"
#include "libperidotreach/entry_event.h"
#include "libperidotreach/entry_state.h"

namespace peridotreach {

// The next state and the effects to perform.
struct EntryStep {
  EntryState state;
  std::vector<EntryEffect> effects;
};

// Returns the state of an entry process that has just started.
EntryState initial_entry_state(const EntryIdentity& self);

// Applies `event` to `state` and returns the result.
EntryStep reduce(EntryState state, const EntryEvent& event);

}  // namespace peridotreach
