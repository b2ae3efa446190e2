#pragma once

// Effects of the dispatch reducer: messages to entries and subscriptions to
// endpoints.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libperidotreach/credit.h"
#include "libperidotreach/refusal_kind.h"
#include "libperidotreach/request_key.h"
#include "libperidotreach/time.h"
#include "libperidotreach/variant_inspect.h"

namespace peridotreach {

// Why a request was granted, or why its endpoint was chosen.
enum class GrantReason : std::uint8_t {
  kRankOrder = 0,
  kFloor = 1,
  kCacheHit = 2,
  kProbe = 3,
  kBaseline = 4,
};

// Permits an entry to start a request on an endpoint within `valid_for`.
struct IssueGrant {
  RequestKey key;
  std::string endpoint;
  Millis valid_for = 0;
  GrantReason reason = GrantReason::kRankOrder;

  bool operator==(const IssueGrant&) const = default;
};

// Tells an entry that a queued request is refused. The request did not run.
struct IssueRefusal {
  RequestKey key;
  RefusalKind kind = RefusalKind::kNone;
  Millis retry_after = 0;

  bool operator==(const IssueRefusal&) const = default;
};

// Withdraws a grant, unless tokens of the request were delivered already.
struct IssueWithdrawal {
  RequestKey key;

  bool operator==(const IssueWithdrawal&) const = default;
};

// Asks an entry for a full report.
struct RequestFullReport {
  std::string vm;

  bool operator==(const RequestFullReport&) const = default;
};

// Starts receiving load and cache events of an endpoint.
struct WatchEndpoint {
  std::string endpoint;
  std::string address;
  std::uint32_t port = 0;

  bool operator==(const WatchEndpoint&) const = default;
};

// Stops receiving load and cache events of an endpoint.
struct UnwatchEndpoint {
  std::string endpoint;

  bool operator==(const UnwatchEndpoint&) const = default;
};

// Replaces an entry's credits for a cell; an empty list revokes them.
struct IssueCredits {
  std::string vm;
  std::string cell;
  std::vector<Credit> credits;

  bool operator==(const IssueCredits&) const = default;
};

using DispatchEffect =
    std::variant<IssueGrant, IssueRefusal, IssueWithdrawal, RequestFullReport,
                 WatchEndpoint, UnwatchEndpoint, IssueCredits>;

// Returns the name of `reason` in explanations and metrics.
const char* grant_reason_name(GrantReason reason);

template <class F>
auto inspect(F& f, IssueGrant& x) {
  return f(x.key, x.endpoint, x.valid_for, x.reason);
}
template <class F>
auto inspect(F& f, IssueRefusal& x) {
  return f(x.key, x.kind, x.retry_after);
}
template <class F>
auto inspect(F& f, IssueWithdrawal& x) {
  return f(x.key);
}
template <class F>
auto inspect(F& f, RequestFullReport& x) {
  return f(x.vm);
}
template <class F>
auto inspect(F& f, IssueCredits& x) {
  return f(x.vm, x.cell, x.credits);
}
template <class F>
auto inspect(F& f, WatchEndpoint& x) {
  return f(x.endpoint, x.address, x.port);
}
template <class F>
auto inspect(F& f, UnwatchEndpoint& x) {
  return f(x.endpoint);
}

}  // namespace peridotreach
