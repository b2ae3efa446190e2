#pragma once

// Choice of the dispatcher for a cell, detection of silent dispatchers, and
// the reports that an entry sends them.

#include <string>

#include "libperidotreach/entry_context.h"

namespace peridotreach {

// Time without a reply after which a dispatcher is suspected to have failed.
inline constexpr Millis kDispatcherTimeout = 1200;

// Interval of heartbeats to a dispatcher in use.
inline constexpr Millis kHeartbeatInterval = 500;

// Returns the dispatcher to use for `cell`: the first in rendezvous order
// that is not suspected, or the first of all if every one is suspected. Empty
// if there is none.
std::string choose_dispatcher(const EntryState& state, const std::string& cell);

// Records that a message to `dispatcher` is sent, which expects a reply.
void record_message_sent(EntryState& state, const std::string& dispatcher);

// Records a message from `dispatcher`, which ends any suspicion.
void record_message_received(EntryState& state, const std::string& dispatcher);

// Sends all requests that `dispatcher` should know.
void send_full_report(const EntryContext& context,
                      const std::string& dispatcher);

// Moves the requests of silent dispatchers to the next ones and sends
// heartbeats that are due.
void maintain_dispatchers(const EntryContext& context);

}  // namespace peridotreach
