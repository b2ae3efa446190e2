#pragma once

// State of the routing reducer of one process.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libperidotreach/length_model.h"
#include "libperidotreach/quarantine.h"
#include "libperidotreach/routing/closed_zones.h"
#include "libperidotreach/routing/cold_phase.h"
#include "libperidotreach/routing/endpoint_limit.h"
#include "libperidotreach/routing/endpoint_pace.h"
#include "libperidotreach/routing/endpoint_path.h"
#include "libperidotreach/routing/manifest.h"
#include "libperidotreach/routing/placement_queue.h"
#include "libperidotreach/routing/planned_stop.h"
#include "libperidotreach/routing/prompt_quarantine.h"
#include "libperidotreach/routing/queue_wait.h"
#include "libperidotreach/routing/routing_effect.h"
#include "libperidotreach/routing/routing_event.h"
#include "libperidotreach/routing/service_speeds.h"
#include "libperidotreach/routing/shared_retry_budget.h"
#include "libperidotreach/routing/speed_samples.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// Identity and limits of this process.
struct RoutingConfig {
  std::string vm;
  std::string zone;
  RetryBudgetLimits retry_limits;

  bool operator==(const RoutingConfig&) const = default;
};

// An endpoint and what this process knows about it.
struct EndpointState {
  EndpointEntry entry;
  bool listed = true;
  // Since when its entry has been missing after a store outage, while it may
  // still return; 0 if it is not missing.
  Millis entry_missing_since = 0;
  // Whether its entry was removed, other than by an outage or a restoration of
  // the store.
  bool was_removed = false;
  // When it was first known to be leaving; 0 if it is not.
  Millis leaving_since = 0;
  // Whether it said so itself, which holds until it starts anew.
  bool announced_leaving = false;
  // When its availability zone was closed; 0 if that is open.
  Millis zone_closed_since = 0;
  ColdPhase cold_phase;
  PaceWindow pace;
  AnswerRate answer_rate;
  // Decaying share of failures among recent answers, from 0 to 1.
  double failure_rate = 0;
  Millis failure_rate_updated_at = 0;
  // When `own_usage.transport_failures` was last updated.
  Millis transport_failures_updated_at = 0;
  std::uint32_t consecutive_connect_failures = 0;
  Millis ejected_until = 0;
  // Until when it wants no requests from this process.
  Millis declined_until = 0;
  // The newest limit that is known, the one that this process observed itself,
  // and when the endpoint last ceased to name one; 0 if it never did.
  EndpointLimit limit;
  EndpointLimit own_limit;
  Millis limit_ended_at = 0;
  EndpointPermits permits;
  CallTime call_time;
  // What this process measured, the newest of each measurement that is known
  // since the endpoint's start, and what was measured at the same time last.
  SpeedSamples event_group_samples;
  SpeedSamples prefill_samples;
  EndpointSpeed speed;
  EndpointSpeed latest_speed;
  Millis speed_updated_at = 0;
  // Usage by this process and by all peers.
  EndpointUsage own_usage;
  EndpointUsage peer_usage;

  bool operator==(const EndpointState&) const = default;
};

// Phase of a generation's move.
enum class MovePhase {
  kNone,
  // Waits for the copy lease of its endpoint, which another generation may
  // hold.
  kAwaitingLease,
  // Waits for the placement coordinator to choose a target.
  kAwaitingTarget,
  // The KV cache is copied while the generation keeps running.
  kCopying,
  // The generation stops and the rest is copied.
  kStopping,
  // Resumes at the target once the source's stream has ended.
  kResuming,
};

// The move of one generation.
struct GenerationMove {
  MovePhase phase = MovePhase::kNone;
  std::string target;
  // When a permit for the target was used as it may have been cold; 0 if none
  // was needed.
  Millis permit_used_at = 0;
  // Tokens reserved at the target during the move.
  std::uint64_t reserved_tokens = 0;
  // Attempts to move off the current endpoint.
  std::uint32_t attempts = 0;
  // Targets without capacity; not asked again for this generation.
  std::set<std::string> full_targets;
  std::string handle;
  std::int64_t events_made = 0;
  bool has_copy = false;
  bool source_ended = false;
  // Its stream was complete, unless the order to stop the generation ended it.
  bool source_ended_whole = false;
  // No move is started before this time.
  Millis not_before = 0;
  // When the lease was last requested, and when its coordinator last answered.
  Millis lease_requested_at = 0;
  Millis last_lease_reply_at = 0;
  bool has_lease = false;
  Millis target_requested_at = 0;
  // When the first copy began, and when the source was ordered to stop.
  Millis copy_started_at = 0;
  Millis stop_ordered_at = 0;

  bool operator==(const GenerationMove&) const = default;
};

// One request in flight.
struct RequestState {
  CallerRequest caller_request;
  Route route;
  std::string service;
  std::string account;
  std::uint32_t rank = 0;
  Millis arrived_at = 0;
  // Latest time for the answer.
  Millis deadline = 0;
  std::uint32_t attempt = 0;
  // Waits for a placement until this time; 0 if it does not wait.
  Millis placement_deadline = 0;
  // Until when it waits for a permit of a limited endpoint; 0 if it does not.
  Millis permit_deadline = 0;
  // The endpoint of that permit.
  std::string awaited_permit;
  // The endpoint that it is not sent to again.
  std::string avoided_endpoint;
  // When a placement was last requested, and whether the coordinator has
  // answered since.
  Millis placement_requested_at = 0;
  bool coordinator_answered = false;
  bool wait_recorded = false;
  // An endpoint has, or may have, run it.
  bool may_have_run = false;
  // Attempts of which a byte may have reached an endpoint.
  std::uint32_t sent_attempts = 0;
  std::uint32_t connect_failures = 0;
  // Attempts for which no peer opened a tunnel.
  std::uint32_t tunnel_failures = 0;
  std::string endpoint;
  // The current attempt was sent through a peer, and the KV cache that it
  // continues from.
  bool through_peer = false;
  KvCacheSource kv_cache_source;
  // The endpoint may have been ordered to stop the generation.
  bool stop_ordered = false;
  std::uint64_t projected_tokens = 0;
  // Prompt tokens counted as pending prefill at the endpoint.
  std::uint32_t pending_prefill_tokens = 0;
  bool relaying = false;
  Millis stream_opened_at = 0;
  std::int64_t last_event_id = 0;
  std::uint32_t event_count = 0;
  // Times of the first and last event, and the longest gap between two events.
  Millis first_event_at = 0;
  Millis last_event_at = 0;
  Millis longest_event_gap = 0;
  // When the current attempt was started, and whether no other prompt was known
  // to be in front of its own.
  Millis attempt_started_at = 0;
  bool is_prefilled_alone = false;
  // The events that are measured for the speed of the endpoint: when the first
  // one arrived, 0 if none did, and how many did since.
  Millis event_group_started_at = 0;
  std::uint32_t event_group_size = 0;
  // The generation ran on for long enough to show that its prompt is sound.
  bool is_prompt_sound = false;
  // Endpoints that continued the generation after the first one.
  std::uint32_t move_count = 0;
  // When it was resumed at the endpoint of which no event has come yet; 0
  // otherwise.
  Millis resumed_at = 0;
  // The endpoint that last stopped the generation and keeps its KV cache for a
  // while, and the location of that cache. The endpoint is empty once the
  // generation has returned to it.
  std::string previous_endpoint;
  KvCacheSource previous_kv_cache;
  GenerationMove move;

  bool operator==(const RequestState&) const = default;
};

// Capacity granted to another process whose reported usage may not include it
// yet.
struct PlacementReservation {
  std::string endpoint;
  std::uint64_t projected_tokens = 0;
  std::uint64_t prefill_tokens = 0;
  Millis expires_at = 0;
  // It is for a generation that is copied to the endpoint.
  bool is_move = false;

  bool operator==(const PlacementReservation&) const = default;
};

// A generation on a leaving endpoint for which there was no capacity.
struct BlockedMove {
  std::string peer;
  std::uint64_t request = 0;
  std::string service;
  Millis expires_at = 0;

  bool operator==(const BlockedMove&) const = default;
};

// A move off `source` that this process charged to the retry budget.
struct ChargedMove {
  std::string peer;
  std::uint64_t request = 0;
  std::string source;
  Millis expires_at = 0;

  bool operator==(const ChargedMove&) const = default;
};

// A peer's reported retries by service.
struct PeerRetryReport {
  std::map<std::string, RetryCounts> counts_by_service;
  Millis received_at = 0;

  bool operator==(const PeerRetryReport&) const = default;
};

// The last report of a peer, or of a relay for several processes; removed when
// the peer is lost.
struct PeerReport {
  std::map<std::string, EndpointUsage> endpoint_usage;
  // Fingerprints of requests in flight when an endpoint crashed, with counts.
  std::map<std::uint64_t, std::uint32_t> suspects;
  // Finished generations by route.
  std::map<std::string, FinishedOutput> finished_outputs;
  std::map<std::string, EndpointSpeed> speeds;
  // Processes that the report counts.
  std::uint32_t processes = 1;

  bool operator==(const PeerReport&) const = default;
};

// The complete state of the reducer.
struct RoutingState {
  RoutingConfig config;
  Millis now = 0;
  std::uint64_t random = 1;
  // Whether calls to the store succeed, when one last did, and since when they
  // succeed again after an outage in which entries may have expired.
  bool store_reachable = true;
  Millis store_answered_at = 0;
  Millis store_regained_at = 0;
  // The newest era of the store that is known.
  std::uint64_t store_era = 0;
  // Set once the process has been told to stop.
  std::optional<PlannedStop> stop;
  std::optional<Manifest> manifest;
  // The shortest first-byte objective of the manifest's stream routes; 0 if it
  // has none.
  Millis shortest_stream_slo = 0;
  ClosedZones closed_zones;
  EndpointPath endpoint_path;
  std::map<std::string, EndpointState> endpoints;
  // Endpoints of which this process measures the speed, how the endpoints of
  // each service compared when that was last computed, and whether speeds have
  // been measured or reported since.
  std::set<std::string> measured_endpoints;
  std::map<std::string, ServiceSpeeds> service_speeds;
  Millis speeds_compared_at = 0;
  bool has_new_speeds = false;
  // When this process, as the placement coordinator, last placed a request, and
  // when it last adjusted the pace of engines.
  Millis last_grant_at = 0;
  Millis paces_adjusted_at = 0;
  // When an endpoint of a service was last seen to leave.
  std::map<std::string, Millis> last_leaving_at;
  std::map<std::uint64_t, RequestState> requests;
  std::vector<PlacementReservation> reservations;
  // Requests that wait for this process, as the placement coordinator.
  PlacementQueue placement_queue;
  PlacementRate placement_rate;
  // Recent moves that this process, as the placement coordinator, could not
  // place.
  std::vector<BlockedMove> blocked_moves;
  std::vector<ChargedMove> charged_moves;
  // Permits that this process coordinates, by endpoint.
  std::map<std::string, PermitBucket> permit_buckets;
  // Endpoints for which requests have found no permit.
  std::set<std::string> permits_wanted;
  // Output lengths by route and account.
  LengthModel length_model;
  // Finished generations by route.
  std::map<std::string, FinishedOutput> finished_outputs;
  std::map<std::string, SharedRetryBudget> retry_budgets;
  // Kept for one window after the peer's last report.
  std::map<std::string, PeerRetryReport> peer_retry_reports;
  std::map<std::string, PeerReport> peer_reports;
  // Fingerprints of requests that were in flight when endpoints crashed.
  Quarantine quarantine;
  PromptQuarantine prompt_quarantine;

  bool operator==(const RoutingState&) const = default;
};

}  // namespace peridotreach
