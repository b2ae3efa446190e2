#pragma once

// Effects of the entry reducer.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libperidotreach/entry_event.h"
#include "libperidotreach/queued_request.h"
#include "libperidotreach/refusal_kind.h"
#include "libperidotreach/refusal_ledger.h"
#include "libperidotreach/session_table.h"
#include "libperidotreach/variant_inspect.h"

namespace peridotreach {

// Asks a dispatcher to queue a request.
struct SendEnqueue {
  std::string dispatcher;
  QueuedRequest request;
};

// Reports the progress of a granted request. `include_request` is set if the
// dispatcher does not know the request yet.
struct SendProgress {
  std::string dispatcher;
  RunProgress progress;
  bool include_request = false;
};

// Asks a dispatcher to remove a request from its queue.
struct SendDequeue {
  std::string dispatcher;
  std::uint64_t request = 0;
};

// Sends requests to a dispatcher. If `full`, these are all requests that the
// dispatcher should know; otherwise empty lists form a heartbeat.
struct SendReport {
  std::string dispatcher;
  bool full = false;
  std::vector<QueuedRequest> enqueue;
  std::vector<RunProgress> progress;
};

// Connects a request to an endpoint. An empty `generation_id` starts a new
// generation; otherwise the stream of that generation is resumed after
// sequence number `starting_after`.
struct ConnectEndpoint {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  std::string endpoint;
  std::string generation_id;
  std::int64_t starting_after = -1;
  std::uint32_t priority = 0;
};

// Closes the connection of an attempt.
struct DisconnectEndpoint {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
};

// Cancels a generation. If `only_unwatched`, the endpoint cancels it only when
// no other connection reads it.
struct CancelGeneration {
  std::string endpoint;
  std::string generation_id;
  bool only_unwatched = false;
};

// Writes events to the caller, in order. `endpoint`,
// `endpoint_incarnation` and `generation_id` become part of the response id.
struct RelayEvents {
  std::uint64_t request = 0;
  std::string endpoint;
  std::uint64_t endpoint_incarnation = 0;
  std::string generation_id;
  std::vector<StreamEvent> events;
};

// Ends the response to a request. RefusalKind::kNone with
// ExecutionStatus::kExecuted is success.
struct FinishRequest {
  std::uint64_t request = 0;
  RefusalKind kind = RefusalKind::kNone;
  ExecutionStatus ran = ExecutionStatus::kNotExecuted;
  Millis retry_after = 0;
};

// Sends a call to an endpoint of a plain service.
struct ForwardCall {
  std::uint64_t request = 0;
  std::string endpoint;
  Millis timeout = 0;
};

// Forwards a call to the entry VM that holds its session.
struct ForwardToHome {
  std::uint64_t request = 0;
  std::string vm;
};

// Claims an idempotency key in the store.
struct ClaimKey {
  std::uint64_t request = 0;
  std::string caller;
  std::string key;
};

// Answers a call.
struct AnswerCall {
  std::uint64_t request = 0;
  CallOutcome outcome;
  Millis retry_after = 0;
};

// Returns a session to the caller; `session` 0 means that none was opened.
struct ReturnSession {
  std::uint64_t request = 0;
  std::uint64_t session = 0;
};

// Publishes the count of refusals with `labels` in `bucket`, so that a peer
// also holds it in memory.
struct CountRefusal {
  RefusalBucket bucket;
  RefusalLabels labels;
  std::uint64_t count = 0;
};

// Records a decision about a request for the explain endpoint.
struct RecordExplanation {
  std::uint64_t request = 0;
  std::string code;
  std::string detail;
};

// Histograms to which the entry adds values. kStall is the part of a token gap
// that exceeds the stall threshold.
enum class MetricKind : std::uint8_t {
  kQueueTime = 0,
  kTimeToFirstToken = 1,
  kTokenGap = 2,
  kOutputLength = 3,
  kStall = 4,
};

// Adds a value to a histogram: durations in milliseconds, lengths in tokens.
struct Observe {
  MetricKind metric = MetricKind::kQueueTime;
  std::string rank;
  std::string caller;
  double value = 0;
};

// A process incarnation whose sessions this process holds.
struct SessionHome {
  std::string vm;
  std::uint64_t incarnation = 0;
};

// Announces that this VM leaves and records the successor for the sessions of
// `homes`.
struct AnnounceLeaving {
  std::string successor;
  std::vector<SessionHome> homes;
};

// Hands the sessions of one home over to the successor.
struct HandOverSessions {
  std::string successor;
  SessionHome home;
  std::vector<std::uint64_t> session_numbers;
  std::vector<Session> sessions;
};

// Confirms to a leaving VM that this process holds the sessions of `home`.
struct ConfirmSessions {
  std::string to;
  SessionHome home;
};

// Ends the process: no work is left.
struct ExitProcess {
  std::uint8_t unused = 0;
};

using EntryEffect =
    std::variant<RelayEvents, SendEnqueue, SendProgress, SendDequeue,
                 SendReport, ConnectEndpoint, DisconnectEndpoint,
                 CancelGeneration, FinishRequest, ForwardCall, ForwardToHome,
                 ClaimKey, AnswerCall, ReturnSession, CountRefusal,
                 RecordExplanation, Observe, AnnounceLeaving, HandOverSessions,
                 ConfirmSessions, ExitProcess>;

template <class F>
auto inspect(F& f, SendEnqueue& x) {
  return f(x.dispatcher, x.request);
}
template <class F>
auto inspect(F& f, SendProgress& x) {
  return f(x.dispatcher, x.progress, x.include_request);
}
template <class F>
auto inspect(F& f, SendDequeue& x) {
  return f(x.dispatcher, x.request);
}
template <class F>
auto inspect(F& f, SendReport& x) {
  return f(x.dispatcher, x.full, x.enqueue, x.progress);
}
template <class F>
auto inspect(F& f, ConnectEndpoint& x) {
  return f(x.request, x.attempt, x.endpoint, x.generation_id, x.starting_after,
           x.priority);
}
template <class F>
auto inspect(F& f, DisconnectEndpoint& x) {
  return f(x.request, x.attempt);
}
template <class F>
auto inspect(F& f, CancelGeneration& x) {
  return f(x.endpoint, x.generation_id, x.only_unwatched);
}
template <class F>
auto inspect(F& f, RelayEvents& x) {
  return f(x.request, x.endpoint, x.endpoint_incarnation, x.generation_id,
           x.events);
}
template <class F>
auto inspect(F& f, FinishRequest& x) {
  return f(x.request, x.kind, x.ran, x.retry_after);
}
template <class F>
auto inspect(F& f, ForwardCall& x) {
  return f(x.request, x.endpoint, x.timeout);
}
template <class F>
auto inspect(F& f, ForwardToHome& x) {
  return f(x.request, x.vm);
}
template <class F>
auto inspect(F& f, ClaimKey& x) {
  return f(x.request, x.caller, x.key);
}
template <class F>
auto inspect(F& f, AnswerCall& x) {
  return f(x.request, x.outcome, x.retry_after);
}
template <class F>
auto inspect(F& f, ReturnSession& x) {
  return f(x.request, x.session);
}
template <class F>
auto inspect(F& f, CountRefusal& x) {
  return f(x.bucket, x.labels, x.count);
}
template <class F>
auto inspect(F& f, RecordExplanation& x) {
  return f(x.request, x.code, x.detail);
}
template <class F>
auto inspect(F& f, Observe& x) {
  return f(x.metric, x.rank, x.caller, x.value);
}
template <class F>
auto inspect(F& f, SessionHome& x) {
  return f(x.vm, x.incarnation);
}
template <class F>
auto inspect(F& f, AnnounceLeaving& x) {
  return f(x.successor, x.homes);
}
template <class F>
auto inspect(F& f, HandOverSessions& x) {
  return f(x.successor, x.home, x.session_numbers, x.sessions);
}
template <class F>
auto inspect(F& f, ConfirmSessions& x) {
  return f(x.to, x.home);
}
template <class F>
auto inspect(F& f, ExitProcess& x) {
  return f(x.unused);
}

}  // namespace peridotreach
