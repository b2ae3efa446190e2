#pragma once

// Events of the routing reducer. Request numbers are assigned by the process
// and never reused. Attempts of a request are numbered from 1.

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "libperidotreach/routing/endpoint_entry.h"
#include "libperidotreach/routing/endpoint_limit.h"
#include "libperidotreach/routing/endpoint_speed.h"
#include "libperidotreach/routing/manifest.h"
#include "libperidotreach/routing/prompt_quarantine.h"
#include "libperidotreach/routing/request_permits.h"
#include "libperidotreach/routing/response_end.h"
#include "libperidotreach/routing/shared_retry_budget.h"
#include "libperidotreach/routing/store_revision.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// A caller's request without its body.
struct CallerRequest {
  std::string id;
  std::string method;
  std::string host;
  // Path without the query.
  std::string path;
  std::string api_key;
  // How long the caller waits; 0 if unspecified.
  Millis timeout = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  // The caller's estimate of the output length in tokens; 0 if unspecified.
  std::uint32_t length_hint = 0;
  // Equal for requests with the same content.
  std::uint64_t fingerprint = 0;
  // Parts of the prompt that other requests may share, in their order.
  std::vector<std::uint64_t> prompt_parts;

  bool operator==(const CallerRequest&) const = default;
};

// A manifest version was received from the store or from a peer.
struct ManifestReceived {
  Manifest manifest;
  // Revision of the table that holds it, and "store" or the peer's VM.
  StoreRevision revision;
  std::string source;
};

// An operator has closed an availability zone, or opened it again. `revision`
// is that of the manifest's table; `source` is "store" or the peer's VM.
struct ZoneClosed {
  std::string zone;
  StoreRevision revision;
  std::string source;
};
struct ZoneOpened {
  std::string zone;
  StoreRevision revision;
  std::string source;
};

// Service discovery added an endpoint or updated its entry.
struct EndpointListed {
  EndpointEntry entry;
};

// Service discovery removed an endpoint.
struct EndpointUnlisted {
  std::string id;
};

// An endpoint announced that it is leaving.
struct EndpointLeaving {
  std::string id;
};

// Calls to the store have started to fail or to succeed again.
struct StoreReachabilityChanged {
  bool is_reachable = true;
};

// The store has answered in this era, directly or by way of a peer. It begins a
// new one when it is restored from an older copy.
struct StoreEraSeen {
  std::uint64_t era = 0;
};

// The limits of the fleet's retry budget have changed.
struct RetryLimitsChanged {
  RetryBudgetLimits retry_limits;
};

// A request was read completely.
struct RequestArrived {
  std::uint64_t request = 0;
  CallerRequest caller_request;
};

// A caller closed its connection.
struct CallerDisconnected {
  std::uint64_t request = 0;
};

// The result of an attempt.
enum class AttemptOutcome {
  // No byte of the request was sent to the endpoint.
  kNotSent,
  // The endpoint stated that it did not run the request.
  kNotRun,
  // Another endpoint answered at the address.
  kMisdirected,
  // A complete response with the endpoint's stamp.
  kCompleteResponse,
  // The endpoint ended the stream normally.
  kStreamEnded,
  // The response was interrupted, malformed, or belongs to another request.
  kBroken,
};

// Why an attempt was not sent.
enum class ConnectFailure {
  // No connection to the endpoint could be made, from this process or from the
  // peer that was to pass the request on.
  kEndpointUnreachable,
  // No peer opened a tunnel to the endpoint.
  kNoTunnel,
  // The peer sends nothing to the endpoint.
  kDeclinedByPeer,
};

// What an endpoint says of itself in the head of a response.
struct EndpointNotice {
  // Requests per second that it takes from all processes together; none if it
  // names no limit.
  std::optional<double> requests_per_second;
  // It is about to leave.
  bool is_leaving = false;
  // How long it wants no requests from this process after a rejection; 0 if it
  // does not say.
  Millis retry_after = 0;
  // Requests a second that it may reject before it fails; none if it does not
  // say.
  std::optional<double> rejection_limit;

  bool operator==(const EndpointNotice&) const = default;
};

// An endpoint has answered a request.
struct EndpointAnswered {
  std::string endpoint;
  EndpointNotice notice;
  // When this process connected to it; 0 if a peer did.
  Millis connected_at = 0;
};

// A connection to an endpoint that this process opened for a peer failed.
struct EndpointUnreachable {
  std::string endpoint;
};

// A connection to an endpoint that was opened to probe the path to endpoints
// was made.
struct EndpointPathProbed {};

struct AttemptEnded {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  AttemptOutcome outcome = AttemptOutcome::kBroken;
  unsigned status = 0;
  // How the response ended. Decides whether the outcomes kCompleteResponse and
  // kStreamEnded hold; any other response is broken.
  ResponseEnd end;
  // Why the outcome is kNotSent, and how long the peer sends nothing to the
  // endpoint if it is for that.
  ConnectFailure connect_failure = ConnectFailure::kEndpointUnreachable;
  Millis declined_for = 0;
};

// The response head of a stream arrived; events follow.
struct StreamOpened {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
};

// A complete event of a stream arrived.
struct StreamEventReceived {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  std::int64_t event_id = 0;
};

// A request to copy a generation's KV cache was answered or failed.
struct CopyFinished {
  std::uint64_t request = 0;
  // 0 if no answer was received.
  unsigned status = 0;
  std::string handle;
  // Events that the generation had produced when the copy was complete.
  std::int64_t events_made = 0;
};

// A request may now copy its KV cache off the endpoint that runs it.
struct CopyLeaseGranted {
  std::uint64_t request = 0;
  std::string endpoint;
};

// A request is queued for the copy lease.
struct CopyLeaseQueued {
  std::uint64_t request = 0;
};

// What a generation requires of an engine.
struct PlacementRequirements {
  std::string service;
  std::uint64_t projected_tokens = 0;
  std::uint64_t prefill_tokens = 0;
  std::uint32_t rank = 0;
  std::string zone;
  // The request can no longer meet its first-byte objective and only gets
  // capacity that others leave.
  bool is_late = false;
  // The generation is already running and has to move to another endpoint. The
  // last entry of `excluded_endpoints` is the one that runs it.
  bool is_move = false;
  std::vector<std::string> excluded_endpoints;
  // How much longer the request can wait; 0 if that is not known.
  Millis wait_left = 0;
  // Time until it is late; 0 if it is.
  Millis time_until_late = 0;

  bool operator==(const PlacementRequirements&) const = default;
};

// A process asks this one, as the placement coordinator, for an endpoint.
struct PlacementRequested {
  std::string peer;
  std::uint64_t request = 0;
  PlacementRequirements requirements;
  // The coordinator of another cell that passed the request on; empty if the
  // process asked itself.
  std::string forwarded_by;
};

// Another cell's coordinator placed a request that this one had passed on.
struct ForwardedPlacementGranted {
  std::string peer;
  std::uint64_t request = 0;
};

// The coordinator's answer; without an endpoint there is no capacity yet.
struct PlacementAnswered {
  std::uint64_t request = 0;
  std::string endpoint;
  // Set if the request is rejected because it would time out in the queue: when
  // there may be capacity.
  Millis retry_after = 0;
};

// A process requests permits for an endpoint from this one, which coordinates
// them.
struct PermitsRequested {
  std::string peer;
  std::string endpoint;
  std::uint32_t count = 0;
  // The limit that the process knows.
  EndpointLimit limit;
  // When it sent the request, by its own clock.
  Millis requested_at = 0;
  // The part of the fleet with which this process is in contact, from 0 to 1.
  double live_share = 1;
  // Requests of the process that the endpoint has rejected since it last
  // requested permits.
  std::uint32_t rejections = 0;
  // Slots of a fragile endpoint that the process holds. A request for no
  // permits only reports them.
  std::uint32_t held_slots = 0;
};

// The coordinator's answer to a request for permits.
struct PermitsAnswered {
  std::string endpoint;
  PermitGrant grant;
  // When the request was sent.
  Millis requested_at = 0;
};

// Usage of one endpoint by one process.
struct EndpointUsage {
  std::string endpoint;
  std::uint32_t running_requests = 0;
  // Projected peak number of tokens that its requests hold in the KV cache.
  std::uint64_t projected_tokens = 0;
  // Prompt tokens of requests that have not produced their first event.
  std::uint64_t pending_prefill_tokens = 0;
  // Copies of KV caches in flight to the endpoint.
  std::uint32_t incoming_copies = 0;
  // Recent broken answers and failed connections, decayed over time.
  double transport_failures = 0;

  bool operator==(const EndpointUsage&) const = default;
};

// The limit of an endpoint, as one process observed it.
struct ObservedLimit {
  std::string endpoint;
  EndpointLimit limit;

  bool operator==(const ObservedLimit&) const = default;
};

// The speed of an endpoint, as one process measured it.
struct ObservedSpeed {
  std::string endpoint;
  EndpointSpeed speed;

  bool operator==(const ObservedSpeed&) const = default;
};

// Recent requests and retries of one service, as counted by one process.
struct ServiceRetryCounts {
  std::string service;
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;

  bool operator==(const ServiceRetryCounts&) const = default;
};

// Finished generations of one route and their total output tokens.
struct FinishedOutput {
  std::string route;
  std::uint32_t generations = 0;
  std::uint64_t tokens = 0;

  bool operator==(const FinishedOutput&) const = default;
};

// A peer reported its usage of endpoints, or a relay the sum of several
// processes; replaces the previous report under the same name.
struct PeerReportReceived {
  std::string peer;
  std::vector<EndpointUsage> endpoint_usage;
  std::vector<ServiceRetryCounts> retry_counts;
  std::vector<FinishedOutput> finished_outputs;
  // Fingerprints of requests in flight when an endpoint crashed, with counts.
  std::vector<std::pair<std::uint64_t, std::uint32_t>> suspects;
  std::vector<ObservedLimit> limits;
  // Only while endpoints differ in speed.
  std::vector<ObservedSpeed> speeds;
  // Processes that the report counts.
  std::uint32_t processes = 1;

  bool operator==(const PeerReportReceived&) const = default;
};

// What a peer knows of prompts that crash engines.
struct PromptReportReceived {
  std::string peer;
  PromptReport report;

  bool operator==(const PromptReportReceived&) const = default;
};

// A peer left or became silent.
struct PeerLost {
  std::string peer;
};

// The process has been told to stop. It is killed `grace` later.
struct StopRequested {
  Millis grace = 0;
};

// Sent at a fixed interval.
struct RoutingTicked {};

// One event with its time and a random number.
struct RoutingEvent {
  Millis at = 0;
  std::uint64_t random = 0;
  std::variant<ManifestReceived, ZoneClosed, ZoneOpened, EndpointListed,
               EndpointUnlisted, EndpointLeaving, EndpointAnswered,
               EndpointUnreachable, EndpointPathProbed,
               StoreReachabilityChanged, StoreEraSeen, RetryLimitsChanged,
               RequestArrived, CallerDisconnected, AttemptEnded, StreamOpened,
               StreamEventReceived, CopyFinished, CopyLeaseGranted,
               CopyLeaseQueued, PlacementRequested, PlacementAnswered,
               ForwardedPlacementGranted, PermitsRequested, PermitsAnswered,
               PeerReportReceived, PromptReportReceived, PeerLost,
               StopRequested, RoutingTicked>
      body;
};

}  // namespace peridotreach
