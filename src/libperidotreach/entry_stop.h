#pragma once

// A planned stop: addresses stop naming this VM, its sessions move to a
// successor that is recorded first, streams finish, then the process exits.

#include "libperidotreach/entry_context.h"
#include "libperidotreach/entry_event.h"

namespace peridotreach {

// How long callers may keep an answer to the address question.
inline constexpr Millis kAddressTtl = 5 * kSecond;

void on_stop(const EntryContext& context);
void on_successor_recorded(const EntryContext& context,
                           const SuccessorRecorded& event);
void on_sessions_received(const EntryContext& context,
                          const SessionsReceived& event);
void on_sessions_confirmed(const EntryContext& context,
                           const SessionsConfirmed& event);

// Sends hand-overs that are due and exits when nothing is left to do.
void advance_stop(const EntryContext& context);

}  // namespace peridotreach
