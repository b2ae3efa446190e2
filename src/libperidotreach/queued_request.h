#pragma once

// Queued requests, and the progress that entries report on granted ones.

#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/request_key.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// A request that waits for a grant. `queued_at` is on the receiver's clock.
// `prefix_hashes` are hashes of successively longer prompt prefixes, shortest
// first. `excluded_endpoints` lists endpoints that lost or refused the request.
struct QueuedRequest {
  RequestKey key;
  std::string cell;
  std::string model;
  std::string caller;
  std::string rank;
  std::uint32_t prompt_tokens = 0;
  Millis queued_at = 0;
  std::uint64_t fingerprint = 0;
  std::vector<std::uint64_t> prefix_hashes;
  std::vector<std::string> excluded_endpoints;

  bool operator==(const QueuedRequest&) const = default;
};

// State of a granted request. Values are part of the wire format.
enum class RunState : std::uint8_t {
  kGranted = 0,
  kStarted = 1,
  kFinished = 2,
  kLost = 3,
  kCancelled = 4,
};

// An entry's report on a granted request.
struct RunProgress {
  QueuedRequest item;
  std::string endpoint;
  std::uint32_t produced_tokens = 0;
  RunState state = RunState::kGranted;

  bool operator==(const RunProgress&) const = default;
};

template <class F>
auto inspect(F& f, QueuedRequest& x) {
  return f(x.key, x.cell, x.model, x.caller, x.rank, x.prompt_tokens,
           x.queued_at, x.fingerprint, x.prefix_hashes, x.excluded_endpoints);
}
template <class F>
auto inspect(F& f, RunProgress& x) {
  return f(x.item, x.endpoint, x.produced_tokens, x.state);
}

}  // namespace peridotreach
