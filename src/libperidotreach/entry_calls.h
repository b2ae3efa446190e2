#pragma once

// Calls to plain services. A non-repeatable call runs at most once: in a
// session it is executed only by the session's holder, with a claimed key
// only by the claim's owner; once a byte of it has left it is never sent
// again.

#include "libperidotreach/entry_context.h"
#include "libperidotreach/entry_event.h"

namespace peridotreach {

void on_call(const EntryContext& context, const CallRequested& event);
void on_claim(const EntryContext& context, const ClaimAnswered& event);
void on_call_ended(const EntryContext& context, const CallEnded& event);
void on_session_requested(const EntryContext& context,
                          const SessionRequested& event);

// Returns whether any call of the sessions of `home` is still running.
bool has_running_call(const EntryState& state, const HomeKey& home);

}  // namespace peridotreach
