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
struct RoutingSelf {
  std::string vm;
  std::string zone;
  RetryAllowance retries;

  bool operator==(const RoutingSelf&) const = default;
};

// An endpoint and what this process believes of it.
struct EndpointState {
  EndpointEntry entry;
  bool listed = true;
  // Since when its entry is missing after an outage of the store, though it may
  // come back; 0 if it is not.
  Millis absent_since = 0;
  // When it was first known to leave; 0 if it stays.
  Millis leaving_since = 0;
  Millis warm_until = 0;
  // Failures among recent answers, from 0 to 1, decaying.
  double failure_share = 0;
  Millis failure_noted = 0;
  // When `own.breaks` was last brought up to date.
  Millis breaks_noted = 0;
  // Connections that failed in a row.
  std::uint32_t losses = 0;
  Millis ejected_until = 0;
  // Use by this process and by all peers.
  EndpointUse own;
  EndpointUse peers;

  bool operator==(const EndpointState&) const = default;
};

// How far the move of a generation has come.
enum class MovePhase {
  kNone,
  // Another generation is copied off the same endpoint first.
  kWaiting,
  // The keeper of room is asked for a target.
  kChoosing,
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
  std::uint64_t booked = 0;
  std::uint32_t tries = 0;
  // Targets without room, not asked again for this generation.
  std::set<std::string> full;
  std::string handle;
  std::int64_t events_made = 0;
  bool copied = false;
  bool source_ended = false;
  // Not moved before this time.
  Millis not_before = 0;
  // When a turn was asked for, and when the keeper of turns last answered.
  Millis asked = 0;
  Millis heard = 0;
  bool has_turn = false;
  // When a target was asked for.
  Millis choosing_since = 0;

  bool operator==(const GenerationMove&) const = default;
};

// One request in flight.
struct RequestState {
  CallerRequest facts;
  Route route;
  std::string service;
  std::string account;
  std::uint32_t rank = 0;
  Millis arrived = 0;
  // When the answer is due at the latest.
  Millis deadline = 0;
  std::uint32_t attempt = 0;
  // It waits for room until this time; 0 if it does not wait.
  Millis waits_until = 0;
  // When room was asked for last, and when the keeper answered last.
  Millis room_asked = 0;
  Millis room_heard = 0;
  bool told_waiting = false;
  // Attempts of which a byte may have reached an endpoint.
  std::uint32_t sent = 0;
  std::uint32_t connect_failures = 0;
  std::string endpoint;
  std::uint64_t projected_tokens = 0;
  // Prompt tokens booked as unread at the endpoint.
  std::uint32_t unread_tokens = 0;
  bool relaying = false;
  Millis opened = 0;
  std::int64_t last_event = 0;
  std::uint32_t events = 0;
  // When events arrived, and the longest pause between two of them.
  Millis first_event_at = 0;
  Millis last_event_at = 0;
  Millis longest_pause = 0;
  // Endpoints that it went on at after the first.
  std::uint32_t moves = 0;
  // The endpoint that stopped it last and keeps its memory for a while, and
  // where that lies; empty once it has been gone back to.
  std::string stopped_at;
  MemorySource memory;
  GenerationMove move;

  bool operator==(const RequestState&) const = default;
};

// Room that this process has granted to another one and that the other's use
// may not show yet.
struct GrantedRoom {
  std::string endpoint;
  std::uint64_t tokens = 0;
  std::uint64_t unread_tokens = 0;
  Millis until = 0;

  bool operator==(const GrantedRoom&) const = default;
};

// A generation on an endpoint that leaves for which there was no room.
struct WaitingMove {
  std::string peer;
  std::uint64_t request = 0;
  std::string service;
  Millis until = 0;

  bool operator==(const WaitingMove&) const = default;
};

// A move off `source` that this process counted on the retry budget.
struct CountedMove {
  std::string peer;
  std::uint64_t request = 0;
  std::string source;
  Millis until = 0;

  bool operator==(const CountedMove&) const = default;
};

// What a peer told of its repeats, by service.
struct ToldRepeats {
  std::map<std::string, RepeatCounts> services;
  Millis at = 0;

  bool operator==(const ToldRepeats&) const = default;
};

// What a peer told of itself last; forgotten when it is lost.
struct ToldByPeer {
  std::map<std::string, EndpointUse> uses;
  // Fingerprints in flight when an endpoint died, with a count.
  std::map<std::uint64_t, std::uint32_t> suspects;
  // Finished generations by route.
  std::map<std::string, FinishedOutput> finished;

  bool operator==(const ToldByPeer&) const = default;
};

// Everything the reducer knows.
struct RoutingState {
  RoutingSelf self;
  Millis now = 0;
  std::uint64_t random = 1;
  // Whether calls to the store succeed, and since when they do again.
  bool store_reachable = true;
  Millis store_regained = 0;
  std::optional<Manifest> manifest;
  std::map<std::string, EndpointState> endpoints;
  std::map<std::uint64_t, RequestState> requests;
  std::vector<GrantedRoom> granted;
  // Moves that this process, as the keeper of room, could not grant lately.
  std::vector<WaitingMove> waiting_moves;
  std::vector<CountedMove> counted_moves;
  // Lengths of outputs by route and account.
  LengthModel lengths;
  // Finished generations by route.
  std::map<std::string, FinishedOutput> finished;
  std::map<std::string, SharedRetryBudget> budgets;
  // Kept for a window after the peer was heard last.
  std::map<std::string, ToldRepeats> peer_repeats;
  std::map<std::string, ToldByPeer> peers;
  // Fingerprints in flight at deaths.
  Quarantine suspects;

  bool operator==(const RoutingState&) const = default;
};

}  // namespace peridotreach
