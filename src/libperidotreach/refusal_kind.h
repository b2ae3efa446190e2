#pragma once

// Kinds of refusal that a caller can receive, with their remedies.

#include <cstdint>
#include <string>

namespace peridotreach {

// Reason for refusing a request. The values are part of the wire format.
enum class RefusalKind : std::uint8_t {
  kNone = 0,
  kQueueFull = 1,
  kDeadlineUnreachable = 2,
  kCallerLimit = 3,
  kNoEndpoint = 4,
  kQuarantined = 5,
  kEndpointLost = 6,
  kStoreUnavailable = 7,
  kSessionEnded = 8,
  kTimedOut = 9,
  kCancelled = 10,
  kBadRequest = 11,
  kNoDispatcher = 12,
  kStopping = 13,
};

// Whether a refused or failed request was executed. The values are part of the
// wire format.
enum class ExecutionStatus : std::uint8_t {
  kNotExecuted = 0,
  kPartlyExecuted = 1,
  kUnknown = 2,
  kExecuted = 3
};

// Returns the name of `kind` that logs, metrics and responses use.
const char* refusal_name(RefusalKind kind);

// Returns advice to the caller on resolving a refusal of `kind`.
const char* refusal_remedy(RefusalKind kind);

// Returns the HTTP status code of a refusal of `kind`.
unsigned refusal_http_status(RefusalKind kind);

// Returns "no", "partly", "unknown" or "yes".
const char* execution_status_name(ExecutionStatus status);

// Returns the status whose name is `name`, or kUnknown if there is none.
ExecutionStatus execution_status_from_name(const std::string& name);

}  // namespace peridotreach
