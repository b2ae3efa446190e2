#pragma once

// Effects of the routing reducer.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libperidotreach/routing/routing_event.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// Where a generation's memory lies for a request that goes on from it.
struct KvCacheSource {
  std::string address;
  std::uint16_t port = 0;
  std::string handle;
  // The last event that the caller has.
  std::int64_t last_event_id = 0;

  bool operator==(const KvCacheSource&) const = default;
};

// Sends the request to an endpoint.
struct StartAttempt {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  std::string endpoint;
  std::string address;
  std::uint16_t port = 0;
  std::string account;
  // What the endpoint may still use of the caller's time.
  Millis time_left = 0;
  // Order at the endpoint, 0 first.
  std::uint32_t urgency = 0;
  bool is_stream = false;
  // Set if `source.handle` is not empty.
  KvCacheSource source;
};

// Closes the connection of an attempt, which makes the endpoint stop.
struct CancelAttempt {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
};

// Time that a caller waited for the first byte of its answer.
struct FirstByteLatency {
  CallKind kind = CallKind::kStream;
  std::string account;
  Millis latency = 0;
};

// Gives the caller the whole answer of an attempt.
struct DeliverResponse {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  FirstByteLatency first_byte;
};

// Starts to relay the events of an attempt to the caller, or goes on after a
// move, which has no first byte of its own.
struct RelayStream {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  std::optional<FirstByteLatency> first_byte;
};

// Ends a relayed stream as complete.
struct FinishStream {
  std::uint64_t request = 0;
};

// Answers with a status of our own. 503 and 429 promise that the request has
// not run; `retry_after` goes with them if it is not negative.
struct SendLocalResponse {
  std::uint64_t request = 0;
  unsigned status = 503;
  Millis retry_after = -1;
  std::string reason;
};

// Ends the caller's connection in mid answer.
struct AbortResponse {
  std::uint64_t request = 0;
  std::string reason;
};

// Asks the endpoint that runs a generation to copy its memory to another.
// `stop` ends the run at the source once all is copied.
struct CopyGeneration {
  std::uint64_t request = 0;
  std::string address;
  std::uint16_t port = 0;
  std::string target_address;
  std::uint16_t target_port = 0;
  bool stop_source = false;
};

// Asks for a turn at copying off an endpoint, or gives it back.
struct RequestCopyLease {
  std::uint64_t request = 0;
  std::string endpoint;
};
struct ReleaseCopyLease {
  std::uint64_t request = 0;
  std::string endpoint;
};

// Asks the keeper of room where a request may run.
struct RequestPlacement {
  std::uint64_t request = 0;
  PlacementRequirements requirements;
};

// Answers a process that asked for room.
struct AnswerPlacement {
  std::string peer;
  std::uint64_t request = 0;
  std::string endpoint;
};

// Frees a copy that is not used, at both ends.
struct FreeCopy {
  std::string address;
  std::uint16_t port = 0;
  std::string handle;
};

// One field of a decision's record.
struct DecisionField {
  std::string name;
  std::string value;
};

// A decision or a change of belief, for the log.
struct RecordDecision {
  std::string decision;
  std::uint64_t request = 0;
  std::vector<DecisionField> fields;
};

using RoutingEffect =
    std::variant<StartAttempt, CancelAttempt, DeliverResponse, RelayStream,
                 FinishStream, SendLocalResponse, AbortResponse, CopyGeneration,
                 RequestCopyLease, ReleaseCopyLease, RequestPlacement,
                 AnswerPlacement, FreeCopy, RecordDecision>;

}  // namespace peridotreach
