#pragma once

// Events of the entry reducer. The entry process numbers its requests; a
// number is used only once within a process incarnation.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libperidotreach/credit.h"
#include "libperidotreach/fleet_config.h"
#include "libperidotreach/fleet_view.h"
#include "libperidotreach/refusal_kind.h"
#include "libperidotreach/session_table.h"
#include "libperidotreach/time.h"
#include "libperidotreach/variant_inspect.h"

namespace peridotreach {

// A caller requests a generation. `idempotency_key` may be empty. Prefixes of
// the prompt are given as hashes, shortest first.
struct GenerationRequested {
  std::uint64_t request = 0;
  std::string caller;
  std::string rank;
  std::string service;
  std::string model;
  std::string idempotency_key;
  std::uint32_t prompt_tokens = 0;
  std::uint64_t fingerprint = 0;
  std::vector<std::uint64_t> prefix_hashes;
};

// A caller requests the events of a generation that follow sequence number
// `starting_after`.
struct ResumeRequested {
  std::uint64_t request = 0;
  std::string caller;
  std::string rank;
  std::string service;
  std::string endpoint;
  std::uint64_t endpoint_incarnation = 0;
  std::string generation_id;
  std::int64_t starting_after = -1;
};

// A dispatcher granted `endpoint` to a request.
struct GrantReceived {
  std::string dispatcher;
  std::uint64_t request = 0;
  std::string endpoint;
  std::string reason;
};

// A dispatcher replaced this entry's credits for a cell.
struct CreditsReceived {
  std::string dispatcher;
  std::string cell;
  std::vector<Credit> credits;
};

// A dispatcher refused a request.
struct RefusalReceived {
  std::string dispatcher;
  std::uint64_t request = 0;
  RefusalKind kind = RefusalKind::kNone;
  Millis retry_after = 0;
};

// A dispatcher revoked a grant.
struct WithdrawalReceived {
  std::string dispatcher;
  std::uint64_t request = 0;
};

// A message from a dispatcher arrived. `wants_full_report` is set if the
// dispatcher asks for a full report.
struct DispatcherMessageReceived {
  std::string dispatcher;
  bool wants_full_report = false;
};

// The endpoint accepted a request and starts to stream. `incarnation`
// identifies the endpoint's process.
struct EndpointConnected {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  std::uint64_t incarnation = 0;
};

// Kinds of events in an endpoint's stream.
enum class StreamEventKind : std::uint8_t {
  kCreated = 0,
  kToken = 1,
  kOther = 2,
  kCompleted = 3,
  kFailed = 4,
  kHeartbeat = 5,
};

// One event of an endpoint's stream. `payload` is its JSON text.
// `generation_id` is set for kCreated and kCompleted.
struct StreamEvent {
  StreamEventKind kind = StreamEventKind::kOther;
  std::int64_t sequence = 0;
  std::string generation_id;
  std::string payload;

  bool operator==(const StreamEvent&) const = default;
};

// Events read from an endpoint's stream.
struct StreamEventsReceived {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  std::vector<StreamEvent> events;
};

// Why a connection to an endpoint ended before the stream was complete.
enum class DisconnectReason : std::uint8_t {
  kConnectFailed = 0,      // No byte of the request was sent.
  kDeclined = 1,           // The endpoint reports that it did not start.
  kClosed = 2,             // The connection ended after bytes were sent.
  kUnknownGeneration = 3,  // The endpoint does not know the generation.
  kProtocolError = 4,      // The response violates the protocol.
};

// A request's connection to an endpoint ended.
struct EndpointDisconnected {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  DisconnectReason reason = DisconnectReason::kClosed;
};

// The caller's connection ended or, if `cancelled`, the caller cancelled the
// request.
struct CallerConnectionEnded {
  std::uint64_t request = 0;
  bool cancelled = false;
};

// A caller calls a plain service, one that does not run models. `home` and
// `home_incarnation` identify the process that owns the session; `session` 0
// means no session. `call_number` is the caller's number of the call within
// the session. Calls that are `repeatable` (idempotent) need neither a session
// nor a key.
struct CallRequested {
  std::uint64_t request = 0;
  std::string caller;
  std::string rank;
  std::string service;
  std::string home;
  std::uint64_t home_incarnation = 0;
  std::uint64_t session = 0;
  std::uint64_t call_number = 0;
  std::string idempotency_key;
  bool repeatable = false;
  // Whether the caller states that it sends this call for the first time.
  bool first_attempt = false;
};

// Result of claiming an idempotency key in the store.
enum class ClaimResult : std::uint8_t {
  kClaimed = 0,
  kAlreadyClaimed = 1,
  kUnavailable = 2
};

// The store answered a claim. `owned_here` is set if the claim found in the
// store was written by this process incarnation.
struct ClaimAnswered {
  std::uint64_t request = 0;
  ClaimResult result = ClaimResult::kUnavailable;
  bool owned_here = false;
};

// A call to a plain service ended. `sent` is set if any byte of the call was
// sent, `answered` if a response arrived.
struct CallEnded {
  std::uint64_t request = 0;
  bool sent = false;
  bool answered = false;
  CallOutcome outcome;
  Millis retry_after = 0;
};

// A caller requested the entry addresses, which also opens a session.
struct SessionRequested {
  std::uint64_t request = 0;
  std::string caller;
};

// The leaving VM `from` hands over the sessions of `home`, which is either
// that VM or one that left earlier. `session_numbers` and `sessions` run in
// parallel.
struct SessionsReceived {
  std::string from;
  std::string home;
  std::uint64_t incarnation = 0;
  std::vector<std::uint64_t> session_numbers;
  std::vector<Session> sessions;
};

// The successor confirmed that it holds the sessions of `home`.
struct SessionsConfirmed {
  std::string home;
  std::uint64_t incarnation = 0;
};

// The attempt to record this process's successor in the store ended.
struct SuccessorRecorded {
  bool recorded = false;
  std::string successor;
};

// A new fleet view arrived.
struct EntryViewChanged {
  FleetView view;
};
// A new configuration arrived.
struct EntryConfigChanged {
  FleetConfig config;
};

// A planned stop (graceful shutdown) begins.
struct StopRequested {
  std::uint8_t unused = 0;
};

// Timer tick. `random` is mixed into the state of the random number generator.
struct EntryTicked {
  std::uint64_t random = 0;
};

// One event and its time. `wall_minute` is the wall clock in minutes since the
// epoch.
struct EntryEvent {
  Millis at = 0;
  std::uint64_t wall_minute = 0;
  std::variant<EntryTicked, GenerationRequested, ResumeRequested, GrantReceived,
               RefusalReceived, WithdrawalReceived, DispatcherMessageReceived,
               EndpointConnected, StreamEventsReceived, EndpointDisconnected,
               CallerConnectionEnded, CallRequested, ClaimAnswered, CallEnded,
               SessionRequested, SessionsReceived, SessionsConfirmed,
               SuccessorRecorded, EntryViewChanged, EntryConfigChanged,
               StopRequested, CreditsReceived>
      body;
};

template <class F>
auto inspect(F& f, GenerationRequested& x) {
  return f(x.request, x.caller, x.rank, x.service, x.model, x.idempotency_key,
           x.prompt_tokens, x.fingerprint, x.prefix_hashes);
}
template <class F>
auto inspect(F& f, ResumeRequested& x) {
  return f(x.request, x.caller, x.rank, x.service, x.endpoint,
           x.endpoint_incarnation, x.generation_id, x.starting_after);
}
template <class F>
auto inspect(F& f, GrantReceived& x) {
  return f(x.dispatcher, x.request, x.endpoint, x.reason);
}
template <class F>
auto inspect(F& f, CreditsReceived& x) {
  return f(x.dispatcher, x.cell, x.credits);
}
template <class F>
auto inspect(F& f, RefusalReceived& x) {
  return f(x.dispatcher, x.request, x.kind, x.retry_after);
}
template <class F>
auto inspect(F& f, WithdrawalReceived& x) {
  return f(x.dispatcher, x.request);
}
template <class F>
auto inspect(F& f, DispatcherMessageReceived& x) {
  return f(x.dispatcher, x.wants_full_report);
}
template <class F>
auto inspect(F& f, EndpointConnected& x) {
  return f(x.request, x.attempt, x.incarnation);
}
template <class F>
auto inspect(F& f, StreamEvent& x) {
  return f(x.kind, x.sequence, x.generation_id, x.payload);
}
template <class F>
auto inspect(F& f, StreamEventsReceived& x) {
  return f(x.request, x.attempt, x.events);
}
template <class F>
auto inspect(F& f, EndpointDisconnected& x) {
  return f(x.request, x.attempt, x.reason);
}
template <class F>
auto inspect(F& f, CallerConnectionEnded& x) {
  return f(x.request, x.cancelled);
}
template <class F>
auto inspect(F& f, CallRequested& x) {
  return f(x.request, x.caller, x.rank, x.service, x.home, x.home_incarnation,
           x.session, x.call_number, x.idempotency_key, x.repeatable,
           x.first_attempt);
}
template <class F>
auto inspect(F& f, ClaimAnswered& x) {
  return f(x.request, x.result, x.owned_here);
}
template <class F>
auto inspect(F& f, CallEnded& x) {
  return f(x.request, x.sent, x.answered, x.outcome, x.retry_after);
}
template <class F>
auto inspect(F& f, SessionRequested& x) {
  return f(x.request, x.caller);
}
template <class F>
auto inspect(F& f, SessionsReceived& x) {
  return f(x.from, x.home, x.incarnation, x.session_numbers, x.sessions);
}
template <class F>
auto inspect(F& f, SessionsConfirmed& x) {
  return f(x.home, x.incarnation);
}
template <class F>
auto inspect(F& f, SuccessorRecorded& x) {
  return f(x.recorded, x.successor);
}
template <class F>
auto inspect(F& f, EntryViewChanged& x) {
  return f(x.view);
}
template <class F>
auto inspect(F& f, EntryConfigChanged& x) {
  return f(x.config);
}
template <class F>
auto inspect(F& f, StopRequested& x) {
  return f(x.unused);
}
template <class F>
auto inspect(F& f, EntryTicked& x) {
  return f(x.random);
}
template <class F>
auto inspect(F& f, EntryEvent& x) {
  auto head = f(x.at, x.wall_minute);
  if constexpr (!F::reads_state) {
    if (head) return head;
  }
  return inspect_variant(f, x.body);
}

}  // namespace peridotreach
