#pragma once

// Handling of a generation at its entry: queueing, the grant, the stream from
// the endpoint, resumption, retries where they are safe, and the single
// outcome.

#include "libperidotreach/entry_context.h"
#include "libperidotreach/entry_event.h"

namespace peridotreach {

// How long a caller may stay disconnected before its generation is cancelled.
inline constexpr Millis kCallerReconnectTimeout = 20 * kSecond;

// Time without events after which the connection to an endpoint is replaced.
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

// Applies timeouts and deadlines and starts retries that are due.
void advance_generations(const EntryContext& context);

}  // namespace peridotreach
