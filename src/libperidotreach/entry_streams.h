#pragma once

// Life of a generation at its entry: queueing, the grant, the stream from the
// endpoint, resuming it, retrying it where that is safe, and its one outcome.

#include "libperidotreach/entry_context.h"
#include "libperidotreach/entry_event.h"

namespace peridotreach {

// How long a caller may stay away before its generation is cancelled.
inline constexpr Millis kCallerReconnectTimeout = 20 * kSecond;

// Silence of an endpoint's connection after which it is replaced.
inline constexpr Millis kConnectionIdleTimeout = 2500;

void on_generation(const EntryContext& context,
                   const GenerationRequested& event);
void on_resume(const EntryContext& context, const ResumeRequested& event);
void on_grant(const EntryContext& context, const GrantReceived& event);
void on_credits(const EntryContext& context, const CreditsReceived& event);
void on_refusal(const EntryContext& context, const RefusalReceived& event);
void on_withdrawal(const EntryContext& context,
                   const WithdrawalReceived& event);
void on_endpoint_connected(const EntryContext& context,
                           const EndpointConnected& event);
void on_stream_events(const EntryContext& context,
                      const StreamEventsReceived& event);
void on_endpoint_disconnected(const EntryContext& context,
                              const EndpointDisconnected& event);
void on_caller_connection_ended(const EntryContext& context,
                                const CallerConnectionEnded& event);

// Applies silence bounds, deadlines and delayed retries.
void advance_generations(const EntryContext& context);

}  // namespace peridotreach
