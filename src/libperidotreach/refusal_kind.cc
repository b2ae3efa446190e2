#include "libperidotreach/refusal_kind.h"

#include <array>
#include <cstddef>

namespace peridotreach {
namespace {

// Name, remedy and HTTP status of one refusal kind.
struct RefusalInfo {
  const char* name;
  const char* remedy;
  unsigned http_status;
};

// Indexed by RefusalKind.
constexpr std::array<RefusalInfo, 14> kRefusals = {{
    {"none", "no action needed", 200},
    {"queue_full", "retry after the indicated delay; the request queue is full",
     429},
    {"deadline_unreachable",
     "retry after the indicated delay, or use a rank with a later deadline",
     429},
    {"caller_limit",
     "wait until earlier requests of this account have finished", 429},
    {"no_endpoint", "retry after the indicated delay; no endpoint is serving",
     503},
    {"quarantined",
     "change the request; earlier executions of it coincided with endpoint "
     "crashes",
     422},
    {"endpoint_lost",
     "resend the request under a new idempotency key if repeating part of it "
     "is acceptable",
     502},
    {"store_unavailable",
     "use a session at an address from /v1/addresses, or retry when the store "
     "is reachable",
     503},
    {"session_ended",
     "check the outcome in the service, then open a new session", 409},
    {"timed_out", "check the outcome before sending the call again", 504},
    {"cancelled", "no action needed; the caller cancelled the request", 499},
    {"bad_request", "correct the request as described in the message", 400},
    {"no_dispatcher", "retry after the indicated delay", 503},
    {"stopping", "get another address from /v1/addresses", 503},
}};

}  // namespace

const char* refusal_name(RefusalKind kind) {
  return kRefusals.at(static_cast<std::size_t>(kind)).name;
}

const char* refusal_remedy(RefusalKind kind) {
  return kRefusals.at(static_cast<std::size_t>(kind)).remedy;
}

unsigned refusal_http_status(RefusalKind kind) {
  return kRefusals.at(static_cast<std::size_t>(kind)).http_status;
}

const char* execution_status_name(ExecutionStatus status) {
  switch (status) {
    case ExecutionStatus::kNotExecuted:
      return "no";
    case ExecutionStatus::kPartlyExecuted:
      return "partly";
    case ExecutionStatus::kUnknown:
      return "unknown";
    case ExecutionStatus::kExecuted:
      return "yes";
  }
  return "unknown";
}

ExecutionStatus execution_status_from_name(const std::string& name) {
  for (const ExecutionStatus status :
       {ExecutionStatus::kNotExecuted, ExecutionStatus::kPartlyExecuted,
        ExecutionStatus::kExecuted}) {
    if (name == execution_status_name(status)) return status;
  }
  return ExecutionStatus::kUnknown;
}

}  // namespace peridotreach
