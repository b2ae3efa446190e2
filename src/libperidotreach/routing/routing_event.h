#pragma once

// Events of the routing reducer. Requests are numbered by the process; a
// number is used once. Attempts of a request are numbered from 1.

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "libperidotreach/routing/endpoint_entry.h"
#include "libperidotreach/routing/manifest.h"
#include "libperidotreach/routing/shared_retry_budget.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// A caller's request as it arrived, apart from its bytes.
struct CallerRequest {
  std::string id;
  std::string method;
  std::string host;
  // Path without the query.
  std::string path;
  std::string api_key;
  // How long the caller waits; 0 if it does not say.
  Millis timeout = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  // The caller's guess of the output's length; 0 if it gives none.
  std::uint32_t length_hint = 0;
  // Equal for requests that ask for the same thing.
  std::uint64_t fingerprint = 0;

  bool operator==(const CallerRequest&) const = default;
};

// A version of the manifest was taken from the store or a peer.
struct ManifestReceived {
  Manifest manifest;
};

// Discovery lists an endpoint, or lists it anew.
struct EndpointListed {
  EndpointEntry entry;
};

// Discovery no longer lists an endpoint.
struct EndpointUnlisted {
  std::string id;
};

// An endpoint said itself that it leaves.
struct EndpointLeaving {
  std::string id;
};

// Calls to the store fail, or succeed again.
struct StoreReachabilityChanged {
  bool is_reachable = true;
};

// What the fleet may repeat has changed.
struct RetryLimitsChanged {
  RetryBudgetLimits retry_limits;
};

// A request was read whole.
struct RequestArrived {
  std::uint64_t request = 0;
  CallerRequest caller_request;
};

// A caller closed its connection.
struct CallerDisconnected {
  std::uint64_t request = 0;
};

// The answer of an attempt, or how it ended without one.
enum class AttemptOutcome {
  // No byte of the request left for the endpoint.
  kNotSent,
  // The endpoint stated that it did not run the request.
  kNotRun,
  // Another endpoint answers at the address.
  kMisdirected,
  // A whole answer with the endpoint's stamp.
  kCompleteResponse,
  // A stream ended as its endpoint meant it to.
  kStreamEnded,
  // The answer broke off, is not one, or belongs to another request.
  kBroken,
};

// An attempt is over.
struct AttemptEnded {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  AttemptOutcome outcome = AttemptOutcome::kBroken;
  unsigned status = 0;
};

// The head of a stream arrived; events follow.
struct StreamOpened {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
};

// A whole event of a stream arrived.
struct StreamEventReceived {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  std::int64_t event_id = 0;
};

// An endpoint answered a request to copy a generation's memory.
struct CopyFinished {
  std::uint64_t request = 0;
  // 0 if no answer came.
  unsigned status = 0;
  std::string handle;
  // Events that the generation had made when the copy was complete.
  std::int64_t events_made = 0;
};

// A request may now copy its memory off the endpoint that it runs at.
struct CopyLeaseGranted {
  std::uint64_t request = 0;
  std::string endpoint;
};

// A request waits for its turn at copying.
struct CopyLeaseQueued {
  std::uint64_t request = 0;
};

// What a generation needs of an engine, as the keeper of its room is told.
struct PlacementRequirements {
  std::string service;
  std::uint64_t projected_tokens = 0;
  std::uint64_t prefill_tokens = 0;
  std::uint32_t rank = 0;
  std::string zone;
  // Its answer would be late already; it takes what others leave.
  bool is_late = false;
  // It runs already and has to go on elsewhere than at `except`, of which the
  // last one is where it runs.
  bool is_move = false;
  std::vector<std::string> excluded_endpoints;

  bool operator==(const PlacementRequirements&) const = default;
};

// A process asks this one, which keeps the room, where a request may run.
struct PlacementRequested {
  std::string peer;
  std::uint64_t request = 0;
  PlacementRequirements requirements;
};

// The keeper's answer; without an endpoint there is no room yet.
struct PlacementAnswered {
  std::uint64_t request = 0;
  std::string endpoint;
};

// Use of one endpoint by one process.
struct EndpointUsage {
  std::string endpoint;
  std::uint32_t running_requests = 0;
  // Tokens that its requests are projected to hold at their peak.
  std::uint64_t projected_tokens = 0;
  // Prompt tokens of requests that have not had their first event.
  std::uint64_t pending_prefill_tokens = 0;
  // Copies of memory that are on their way to it.
  std::uint32_t incoming_copies = 0;
  // Recent broken answers and failed connections, decaying.
  double transport_failures = 0;

  bool operator==(const EndpointUsage&) const = default;
};

// Requests and repeats that one process has counted lately for one service.
struct ServiceRetryCounts {
  std::string service;
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;

  bool operator==(const ServiceRetryCounts&) const = default;
};

// Finished generations of one route and the output tokens that they had.
struct FinishedOutput {
  std::string route;
  std::uint32_t generations = 0;
  std::uint64_t tokens = 0;

  bool operator==(const FinishedOutput&) const = default;
};

// A peer told how it uses endpoints; replaces what it told before.
struct PeerReportReceived {
  std::string peer;
  std::vector<EndpointUsage> endpoint_usage;
  std::vector<ServiceRetryCounts> retry_counts;
  std::vector<FinishedOutput> finished_outputs;
  // Fingerprints of requests in flight when an endpoint died, with a count.
  std::vector<std::pair<std::uint64_t, std::uint32_t>> suspects;
};

// A peer left or is silent.
struct PeerLost {
  std::string peer;
};

// Time passes; sent at a fixed interval while requests are in flight.
struct RoutingTicked {};

// One event with the time at which it happened and a random number.
struct RoutingEvent {
  Millis at = 0;
  std::uint64_t random = 0;
  std::variant<ManifestReceived, EndpointListed, EndpointUnlisted,
               EndpointLeaving, StoreReachabilityChanged, RetryLimitsChanged,
               RequestArrived, CallerDisconnected, AttemptEnded, StreamOpened,
               StreamEventReceived, CopyFinished, CopyLeaseGranted,
               CopyLeaseQueued, PlacementRequested, PlacementAnswered,
               PeerReportReceived, PeerLost, RoutingTicked>
      body;
};

}  // namespace peridotreach
