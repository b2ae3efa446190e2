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
#include "libperidotreach/routing/manifest.h"
#include "libperidotreach/routing/routing_effect.h"
#include "libperidotreach/routing/routing_event.h"
#include "libperidotreach/routing/shared_retry_budget.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// Who this process is and what bounds it.
struct RoutingConfig {
  std::string vm;
  std::string zone;
  RetryBudgetLimits retry_limits;

  bool operator==(const RoutingConfig&) const = default;
};

// An endpoint and what this process believes of it.
struct EndpointState {
  EndpointEntry entry;
  bool listed = true;
  // Since when its entry is missing after an outage of the store, though it may
  // come back; 0 if it is not.
  Millis entry_missing_since = 0;
  // When it was first known to leave; 0 if it stays.
  Millis leaving_since = 0;
  Millis warm_up_until = 0;
  // Failures among recent answers, from 0 to 1, decaying.
  double failure_rate = 0;
  Millis failure_rate_updated_at = 0;
  // When `own.breaks` was last brought up to date.
  Millis transport_failures_updated_at = 0;
  // Connections that failed in a row.
  std::uint32_t consecutive_connect_failures = 0;
  Millis ejected_until = 0;
  // Use by this process and by all peers.
  EndpointUsage own_usage;
  EndpointUsage peer_usage;

  bool operator==(const EndpointState&) const = default;
};

// How far the move of a generation has come.
enum class MovePhase {
  kNone,
  // Another generation is copied off the same endpoint first.
  kAwaitingLease,
  // The keeper of room is asked for a target.
  kAwaitingTarget,
  // Memory is copied while the generation runs on.
  kCopying,
  // The generation stops and the rest is copied.
  kStopping,
  // It goes on at the target once the source's stream has ended.
  kResuming,
};

// The move of one generation.
struct GenerationMove {
  MovePhase phase = MovePhase::kNone;
  std::string target;
  // Tokens booked at the target while the move goes on.
  std::uint64_t reserved_tokens = 0;
  std::uint32_t attempts = 0;
  // Targets without room, not asked again for this generation.
  std::set<std::string> full_targets;
  std::string handle;
  std::int64_t events_made = 0;
  bool has_copy = false;
  bool source_ended = false;
  // Not moved before this time.
  Millis not_before = 0;
  // When a turn was asked for, and when the keeper of turns last answered.
  Millis lease_requested_at = 0;
  Millis last_lease_reply_at = 0;
  bool has_lease = false;
  // When a target was asked for.
  Millis target_requested_at = 0;

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
  // When the answer is due at the latest.
  Millis deadline = 0;
  std::uint32_t attempt = 0;
  // It waits for room until this time; 0 if it does not wait.
  Millis placement_deadline = 0;
  // When room was asked for last, and when the keeper answered last.
  Millis placement_requested_at = 0;
  Millis last_placement_reply_at = 0;
  bool wait_recorded = false;
  // Attempts of which a byte may have reached an endpoint.
  std::uint32_t sent_attempts = 0;
  std::uint32_t connect_failures = 0;
  std::string endpoint;
  std::uint64_t projected_tokens = 0;
  // Prompt tokens booked as unread at the endpoint.
  std::uint32_t pending_prefill_tokens = 0;
  bool relaying = false;
  Millis stream_opened_at = 0;
  std::int64_t last_event_id = 0;
  std::uint32_t event_count = 0;
  // When events arrived, and the longest pause between two of them.
  Millis first_event_at = 0;
  Millis last_event_at = 0;
  Millis longest_event_gap = 0;
  // Endpoints that it went on at after the first.
  std::uint32_t move_count = 0;
  // The endpoint that stopped it last and keeps its memory for a while, and
  // where that lies; empty once it has been gone back to.
  std::string previous_endpoint;
  KvCacheSource previous_kv_cache;
  GenerationMove move;

  bool operator==(const RequestState&) const = default;
};

// Room that this process has granted to another one and that the other's use
// may not show yet.
struct PlacementReservation {
  std::string endpoint;
  std::uint64_t projected_tokens = 0;
  std::uint64_t prefill_tokens = 0;
  Millis expires_at = 0;

  bool operator==(const PlacementReservation&) const = default;
};

// A generation on an endpoint that leaves for which there was no room.
struct BlockedMove {
  std::string peer;
  std::uint64_t request = 0;
  std::string service;
  Millis expires_at = 0;

  bool operator==(const BlockedMove&) const = default;
};

// A move off `source` that this process counted on the retry budget.
struct CountedMove {
  std::string peer;
  std::uint64_t request = 0;
  std::string source;
  Millis expires_at = 0;

  bool operator==(const CountedMove&) const = default;
};

// What a peer told of its repeats, by service.
struct PeerRetryReport {
  std::map<std::string, RetryCounts> counts_by_service;
  Millis received_at = 0;

  bool operator==(const PeerRetryReport&) const = default;
};

// What a peer told of itself last; forgotten when it is lost.
struct PeerReport {
  std::map<std::string, EndpointUsage> endpoint_usage;
  // Fingerprints in flight when an endpoint died, with a count.
  std::map<std::uint64_t, std::uint32_t> suspects;
  // Finished generations by route.
  std::map<std::string, FinishedOutput> finished_outputs;

  bool operator==(const PeerReport&) const = default;
};

// Everything the reducer knows.
struct RoutingState {
  RoutingConfig config;
  Millis now = 0;
  std::uint64_t random = 1;
  // Whether calls to the store succeed, and since when they do again.
  bool store_reachable = true;
  Millis store_regained_at = 0;
  std::optional<Manifest> manifest;
  std::map<std::string, EndpointState> endpoints;
  std::map<std::uint64_t, RequestState> requests;
  std::vector<PlacementReservation> reservations;
  // Moves that this process, as the keeper of room, could not grant lately.
  std::vector<BlockedMove> blocked_moves;
  std::vector<CountedMove> counted_moves;
  // Lengths of outputs by route and account.
  LengthModel length_model;
  // Finished generations by route.
  std::map<std::string, FinishedOutput> finished_outputs;
  std::map<std::string, SharedRetryBudget> retry_budgets;
  // Kept for a window after the peer was heard last.
  std::map<std::string, PeerRetryReport> peer_retry_reports;
  std::map<std::string, PeerReport> peer_reports;
  // Fingerprints in flight at deaths.
  Quarantine quarantine;

  bool operator==(const RoutingState&) const = default;
};

}  // namespace peridotreach
