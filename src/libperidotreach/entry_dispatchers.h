#pragma once

// Choice of the dispatcher for a cell, its suspicion after silence, and the
// reports an entry owes it.

#include <string>

#include "libperidotreach/entry_context.h"

namespace peridotreach {

// Silence after which a dispatcher that was asked is suspected.
inline constexpr Millis kDispatcherTimeout = 1200;

// Time between heartbeats to a dispatcher in use.
inline constexpr Millis kHeartbeatInterval = 500;

// Returns the dispatcher to use for `cell`: the first in rendezvous order
// that is not suspected, or the first of all.
std::string choose_dispatcher(const EntryState& state, const std::string& cell);

// Notes that `dispatcher` is about to be asked something.
void record_message_sent(EntryState& state, const std::string& dispatcher);

// Notes a message from `dispatcher`.
void record_message_received(EntryState& state, const std::string& dispatcher);

// Sends all that `dispatcher` should know.
void send_full_report(const EntryContext& context,
                      const std::string& dispatcher);

// Moves requests of silent dispatchers to the next ones and sends heartbeats.
void maintain_dispatchers(const EntryContext& context);

}  // namespace peridotreach
