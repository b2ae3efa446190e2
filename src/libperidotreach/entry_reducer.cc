#include "libperidotreach/entry_reducer.h"

#include <algorithm>
#include <utility>

#include "libperidotreach/entry_calls.h"
#include "libperidotreach/entry_dispatchers.h"
#include "libperidotreach/entry_stop.h"
#include "libperidotreach/entry_streams.h"
#include "libperidotreach/quarantine.h"

namespace peridotreach {
namespace {

// Age in minutes after which refusal counts are removed from memory.
constexpr std::uint64_t kLedgerRetentionMinutes = 1440;

void apply(const EntryContext& context, const GenerationRequested& event) {
  on_generation(context, event);
}
void apply(const EntryContext& context, const ResumeRequested& event) {
  on_resume(context, event);
}
void apply(const EntryContext& context, const GrantReceived& event) {
  on_grant(context, event);
}
void apply(const EntryContext& context, const CreditsReceived& event) {
  on_credits(context, event);
}
void apply(const EntryContext& context, const RefusalReceived& event) {
  on_refusal(context, event);
}
void apply(const EntryContext& context, const WithdrawalReceived& event) {
  on_withdrawal(context, event);
}
void apply(const EntryContext& context, const EndpointConnected& event) {
  on_endpoint_connected(context, event);
}
void apply(const EntryContext& context, const StreamEventsReceived& event) {
  on_stream_events(context, event);
}
void apply(const EntryContext& context, const EndpointDisconnected& event) {
  on_endpoint_disconnected(context, event);
}
void apply(const EntryContext& context, const CallerConnectionEnded& event) {
  on_caller_connection_ended(context, event);
}
void apply(const EntryContext& context, const CallRequested& event) {
  on_call(context, event);
}
void apply(const EntryContext& context, const ClaimAnswered& event) {
  on_claim(context, event);
}
void apply(const EntryContext& context, const CallEnded& event) {
  on_call_ended(context, event);
}
void apply(const EntryContext& context, const SessionRequested& event) {
  on_session_requested(context, event);
}
void apply(const EntryContext& context, const SessionsReceived& event) {
  on_sessions_received(context, event);
}
void apply(const EntryContext& context, const SessionsConfirmed& event) {
  on_sessions_confirmed(context, event);
}
void apply(const EntryContext& context, const SuccessorRecorded& event) {
  on_successor_recorded(context, event);
}
void apply(const EntryContext& context, const StopRequested& /*event*/) {
  on_stop(context);
}

void apply(const EntryContext& context,
           const DispatcherMessageReceived& event) {
  record_message_received(context.state, event.dispatcher);
  if (event.wants_full_report) send_full_report(context, event.dispatcher);
}

void apply(const EntryContext& context, const EntryViewChanged& event) {
  context.state.view = event.view;
  context.state.cells = cells_of(event.view);
}

void apply(const EntryContext& context, const EntryConfigChanged& event) {
  // A lower revision is never applied, whatever its source.
  if (event.config.revision < context.state.config.revision) return;
  context.state.config = event.config;
  if (is_drained(event.config, context.state.self.vm)) on_stop(context);
}

void expire_refusal_buckets(EntryState& state) {
  std::erase_if(state.ledger.buckets, [&](const auto& entry) {
    return entry.first.minute + kLedgerRetentionMinutes < state.wall_minute;
  });
}

void apply(const EntryContext& context, const EntryTicked& event) {
  EntryState& state = context.state;
  state.random ^= event.random;
  advance_generations(context);
  maintain_dispatchers(context);
  advance_stop(context);
  for (auto& [home, table] : state.sessions) {
    expire_sessions(table, state.now);
  }
  expire_refusal_buckets(state);
  std::erase_if(state.lost_fingerprints, [&](const auto& entry) {
    return state.now - entry.second > kSuspectLifetime;
  });
}

}  // namespace

EntryState initial_entry_state(const EntryIdentity& self) {
  EntryState state;
  state.self = self;
  state.random = self.incarnation | 1;
  return state;
}

EntryStep reduce(EntryState state, const EntryEvent& event) {
  EntryStep step{std::move(state), {}};
  step.state.now = std::max(step.state.now, event.at);
  step.state.wall_minute = std::max(step.state.wall_minute, event.wall_minute);
  const EntryContext context{step.state, step.effects};
  std::visit([&](const auto& body) { apply(context, body); }, event.body);
  return step;
}

}  // namespace peridotreach
