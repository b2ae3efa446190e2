#pragma once

// A planned stop (graceful shutdown): the address list no longer names this VM,
// its sessions move to a successor that is recorded in the store first, running
// streams finish, then the process exits.

#include "libperidotreach/entry_context.h"
#include "libperidotreach/entry_event.h"

namespace peridotreach {

// How long callers may cache the address list.
inline constexpr Millis kAddressTtl = 5 * kSecond;

void on_stop(const EntryContext& context);
void on_successor_recorded(const EntryContext& context,
                           const SuccessorRecorded& event);
void on_sessions_received(const EntryContext& context,
                          const SessionsReceived& event);
void on_sessions_confirmed(const EntryContext& context,
                           const SessionsConfirmed& event);

// Sends hand-overs that are due, applies timeouts, and ends the process when no
// work is left.
void advance_stop(const EntryContext& context);

}  // namespace peridotreach
