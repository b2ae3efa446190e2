#pragma once

// Calls to plain services, which do not run models. A non-repeatable
// (non-idempotent) call runs at most once: only the process that holds the
// session executes a call of that session, only the owner of a claim executes
// a call with the claimed key, and a call is never sent again after any byte of
// it was sent.

#include "libperidotreach/entry_context.h"
#include "libperidotreach/entry_event.h"

namespace peridotreach {

void on_call(const EntryContext& context, const CallRequested& event);
void on_claim(const EntryContext& context, const ClaimAnswered& event);
void on_call_ended(const EntryContext& context, const CallEnded& event);
void on_session_requested(const EntryContext& context,
                          const SessionRequested& event);

// Returns whether this process still runs a call in a session of `home`.
bool has_running_call(const EntryState& state, const HomeKey& home);

}  // namespace peridotreach
