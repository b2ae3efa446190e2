#include "libperidotreach/refusal_kind.h"

#include <array>
#include <cstddef>

namespace peridotreach {
namespace {

// One row of the table of refusals.
struct RefusalText {
  const char* name;
  const char* remedy;
  unsigned status;
};

constexpr std::array<RefusalText, 14> kTexts = {{
    {"none", "nothing to do", 200},
    {"queue_full", "retry after the time given; the queue is bounded", 429},
    {"deadline_unreachable",
     "retry after the time given, or ask for a rank with a later deadline",
     429},
    {"caller_limit", "wait for earlier requests of this account to finish",
     429},
    {"no_endpoint", "retry after the time given; no endpoint is serving", 503},
    {"quarantined",
     "change the request; its earlier runs coincided with endpoint crashes",
     422},
    {"endpoint_lost",
     "send the request again under a new key if part of it may be repeated",
     502},
    {"store_unavailable",
     "use a session from /v1/addresses, or retry when the store answers", 503},
    {"session_ended",
     "look up the outcome in the service, then open a new session", 409},
    {"timed_out", "look up the outcome before sending the call again", 504},
    {"cancelled", "nothing to do; the caller cancelled the request", 499},
    {"bad_request", "correct the request as the message says", 400},
    {"no_dispatcher", "retry after the time given", 503},
    {"stopping", "ask /v1/addresses for another address", 503},
}};

}  // namespace

const char* refusal_name(RefusalKind kind) {
  return kTexts.at(static_cast<std::size_t>(kind)).name;
}

const char* refusal_remedy(RefusalKind kind) {
  return kTexts.at(static_cast<std::size_t>(kind)).remedy;
}

unsigned refusal_http_status(RefusalKind kind) {
  return kTexts.at(static_cast<std::size_t>(kind)).status;
}

const char* execution_status_name(ExecutionStatus ran) {
  switch (ran) {
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
  for (const ExecutionStatus ran :
       {ExecutionStatus::kNotExecuted, ExecutionStatus::kPartlyExecuted,
        ExecutionStatus::kExecuted}) {
    if (name == execution_status_name(ran)) return ran;
  }
  return ExecutionStatus::kUnknown;
}

}  // namespace peridotreach
