#pragma once

// What happens to requests when the process is stopped in plan, by where each
// one stands and by the time that is left. docs/STOPS.md has the table.

#include <cstdint>

#include "libperidotreach/routing/manifest.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// Time for a caller's next request on a connection during a stop.
inline constexpr Millis kLastRequestWait = kSecond;

// Times of a planned stop, counted from its start.
struct StopSchedule {
  // When idle connections are closed. By then, callers have had time to learn
  // that this process is stopping.
  Millis close_idle_after = 0;
  // Until when connections are accepted, as callers cache the address.
  Millis accept_until = 0;
  // When the process may end if it has no request.
  Millis end_after = 0;
  // When each request gets its outcome, whatever has become of it.
  Millis answer_by = 0;
  // When the process ends, even if a caller has not taken its answer.
  Millis end_by = 0;

  bool operator==(const StopSchedule&) const = default;
};

// Returns the schedule for a process that is killed `grace` after the signal.
StopSchedule stop_schedule(Millis grace);

// A stop in progress.
struct PlannedStop {
  Millis started_at = 0;
  StopSchedule schedule;

  bool operator==(const PlannedStop&) const = default;
};

// Returns the time until requests get their outcome, 0 if it is over.
Millis time_left(const PlannedStop& stop, Millis now);

// Where a request stands.
enum class RequestStage : std::uint8_t {
  // A part of it has arrived.
  kBeingRead,
  // It waits for an endpoint or a permit; no byte of it has left.
  kQueued,
  // It was placed at an endpoint, which may have begun to run it.
  kSent,
  // The caller has received a part of the stream.
  kStreaming,
};

// What becomes of a request.
enum class StopAction : std::uint8_t {
  kContinue,
  // Answers that it has not run.
  kReject,
  // Answers that it may have run.
  kFail,
  // Closes the connection inside the response.
  kBreakOff,
  // Closes the connection before the request is complete.
  kClose,
};

// What a request needs to end in time.
struct RequestDuration {
  CallKind kind = CallKind::kStream;
  // When it arrived, counted from the start of the stop; negative before it.
  Millis arrived_after = 0;
  // Time until its deadline.
  Millis limit = 0;
  // Expected length of its output.
  double output_tokens = 0;

  bool operator==(const RequestDuration&) const = default;
};

// Returns the time that a request needs from its placement to its end: a bound
// for calls and for streams that arrived late in the stop, an estimate
// otherwise.
Millis time_needed(const RequestDuration& duration);

// Returns what becomes of a request at this stage.
StopAction stop_action(RequestStage stage, Millis left, Millis needed);

}  // namespace peridotreach
