#pragma once

// State of the entry reducer.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libperidotreach/cells.h"
#include "libperidotreach/credit.h"
#include "libperidotreach/fleet_config.h"
#include "libperidotreach/fleet_view.h"
#include "libperidotreach/queued_request.h"
#include "libperidotreach/refusal_ledger.h"
#include "libperidotreach/retry_budget.h"
#include "libperidotreach/session_table.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// Location and incarnation of this process.
struct EntryIdentity {
  std::string vm;
  std::string zone;
  std::string region;
  std::uint64_t incarnation = 0;

  bool operator==(const EntryIdentity&) const = default;
};

template <class F>
auto inspect(F& f, EntryIdentity& x) {
  return f(x.vm, x.zone, x.region, x.incarnation);
}

// Stages of a generation.
enum class GenerationStage : std::uint8_t {
  kQueued,
  kConnecting,
  kStreaming,
  kAwaitingRetry
};

// One generation requested by a caller. `next_sequence` is the sequence number
// of the next event to relay. `produced_tokens` counts the tokens relayed,
// `reported_tokens` the count in the last progress report. `attempt` numbers
// the connections to endpoints; events of earlier attempts are ignored.
// `reconnects` counts reconnects since the last event. `token_delivered` is set
// once a token may have reached the caller. `resumed` marks a generation that
// the caller resumed by its id.
struct Generation {
  QueuedRequest queued_request;
  std::string service;
  std::string idempotency_key;
  GenerationStage stage = GenerationStage::kQueued;
  std::string dispatcher;
  std::string endpoint;
  std::uint64_t endpoint_incarnation = 0;
  std::string generation_id;
  std::uint32_t attempt = 0;
  std::uint32_t retries = 0;
  std::uint32_t reconnects = 0;
  std::int64_t next_sequence = 0;
  std::uint32_t produced_tokens = 0;
  std::uint32_t reported_tokens = 0;
  Millis arrived_at = 0;
  Millis start_deadline = 0;
  Millis stage_entered_at = 0;
  Millis last_activity_at = 0;
  Millis last_token_at = 0;
  Millis retry_at = 0;
  Millis caller_disconnected_at = 0;
  bool token_delivered = false;
  bool resumed = false;
  // Whether any attempt may have run, including and excluding the current
  // attempt.
  ExecutionStatus ran = ExecutionStatus::kNotExecuted;
  ExecutionStatus ran_before_attempt = ExecutionStatus::kNotExecuted;
  std::set<std::string> tried_cells;
};

// The home of a session: the VM and incarnation of the entry process that
// opened it.
using HomeKey = std::pair<std::string, std::uint64_t>;

// One call to a plain service.
struct Call {
  std::string caller;
  std::string rank;
  std::string service;
  HomeKey home;
  std::string claim_key;
  std::uint64_t session = 0;
  std::uint64_t call_number = 0;
  std::string endpoint;
  std::set<std::string> tried_endpoints;
  bool repeatable = false;
  bool forwarded_to_home = false;
  // Whether the caller states that it sends this call for the first time.
  bool first_attempt = false;
};

// What this entry knows of a dispatcher. A reply is outstanding while
// `awaiting_reply_since` is later than `last_reply_at`. The silence of a
// dispatcher counts from `last_reply_at`, which the first message after a reply
// also advances. `suspected_until` 0 means not suspected.
struct DispatcherStatus {
  Millis awaiting_reply_since = 0;
  Millis last_reply_at = 0;
  Millis last_sent_at = 0;
  Millis last_heartbeat_at = 0;
  Millis suspected_until = 0;
};

// The credits of this entry for one cell.
struct HeldCredits {
  std::string dispatcher;
  Millis valid_until = 0;
  std::vector<Credit> credits;
};

// Stages of a planned stop.
enum class StopStage : std::uint8_t {
  kServing,
  kAnnounced,
  kHandingOver,
  kDraining,
  kExited,
};

// All state of one entry process.
struct EntryState {
  EntryIdentity self;
  FleetConfig config;
  FleetView view;
  // The cells computed from the view when it changes.
  std::vector<Cell> cells;
  std::map<std::uint64_t, Generation> generations;
  std::map<std::pair<std::string, std::string>, std::uint64_t>
      requests_by_idempotency_key;
  std::map<std::uint64_t, Call> calls;
  // Sessions opened by this process and those taken over from homes that left.
  std::map<HomeKey, SessionTable> sessions;
  // Outcomes of calls by caller and claimed idempotency key.
  std::map<std::pair<std::string, std::string>, CallRecord> claimed_calls;
  // Whether outcomes were removed from `claimed_calls` to bound its size.
  bool evicted_claims = false;
  // Homes whose sessions are not yet handed over in a planned stop.
  std::set<HomeKey> homes_to_hand_over;
  std::map<std::string, DispatcherStatus> dispatchers;
  std::map<std::string, HeldCredits> credits;
  // Fingerprints of requests whose endpoint was lost, and the time of the loss.
  // Such requests never start on a credit, they wait for a grant.
  std::map<std::uint64_t, Millis> lost_fingerprints;
  RetryBudget retry_budget;
  RefusalLedger ledger;
  StopStage stop_stage = StopStage::kServing;
  std::string successor;
  Millis stop_requested_at = 0;
  Millis now = 0;
  std::uint64_t wall_minute = 0;
  std::uint64_t random = 1;
  std::uint64_t round_robin_index = 0;
};

}  // namespace peridotreach
