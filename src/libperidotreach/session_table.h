#pragma once

// Sessions of non-repeatable (non-idempotent) calls. One entry process
// incarnation, the home of the session, holds it and alone executes its calls.
// A call number is marked as used before the first byte of the call is sent,
// so a call runs at most once.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "libperidotreach/refusal_kind.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// Sessions that one caller may have; the least recently used ends first.
inline constexpr std::size_t kMaxSessionsPerCaller = 1024;

// Calls of one session whose outcomes are kept for replay.
inline constexpr std::size_t kMaxCallsPerSession = 64;

// Idle time after which a session ends.
inline constexpr Millis kSessionIdleTimeout = 30 * kMinute;

// How a call ended. `status` is the HTTP status of the service's response, 0 if
// there was none.
struct CallOutcome {
  ExecutionStatus ran = ExecutionStatus::kUnknown;
  RefusalKind kind = RefusalKind::kNone;
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const CallOutcome&) const = default;
};

// Record of a used call number. `outcome` is valid once the call is `done`.
struct CallRecord {
  bool done = false;
  CallOutcome outcome;

  bool operator==(const CallRecord&) const = default;
};

// One session. Call numbers up to `evicted_up_to` count as used, but their
// records are no longer kept.
struct Session {
  std::string caller;
  std::uint64_t evicted_up_to = 0;
  Millis last_used_at = 0;
  std::map<std::uint64_t, CallRecord> calls;

  bool operator==(const Session&) const = default;
};

// All sessions of one home. `last_session` is the highest session number
// assigned.
struct SessionTable {
  std::uint64_t last_session = 0;
  std::map<std::uint64_t, Session> sessions;

  bool operator==(const SessionTable&) const = default;
};

// What to do with a call.
enum class CallAction : std::uint8_t {
  kExecute,
  kReplay,
  kInProgress,
  kSessionEnded,
  kOutcomeEvicted,
};

// The decision on a call; `outcome` is set for kReplay.
struct CallDecision {
  CallAction action = CallAction::kSessionEnded;
  CallOutcome outcome;

  bool operator==(const CallDecision&) const = default;
};

template <class F>
auto inspect(F& f, CallOutcome& x) {
  return f(x.ran, x.kind, x.status, x.content_type, x.body);
}
template <class F>
auto inspect(F& f, CallRecord& x) {
  return f(x.done, x.outcome);
}
template <class F>
auto inspect(F& f, Session& x) {
  return f(x.caller, x.evicted_up_to, x.last_used_at, x.calls);
}

// Opens a session and returns its number. Ends the caller's least recently used
// session if the caller already has kMaxSessionsPerCaller.
std::uint64_t open_session(SessionTable& table, const std::string& caller,
                           Millis now);

// Marks `number` as used and returns whether this call may run.
CallDecision begin_call(SessionTable& table, std::uint64_t session,
                        const std::string& caller, std::uint64_t number,
                        Millis now);

// Records how a call ended. A call that certainly did not run frees its number.
void end_call(SessionTable& table, std::uint64_t session, std::uint64_t number,
              const CallOutcome& outcome);

// Ends sessions that were idle for kSessionIdleTimeout.
void expire_sessions(SessionTable& table, Millis now);

}  // namespace peridotreach
