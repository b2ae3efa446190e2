#pragma once

// State of one cell in its dispatcher. It is rebuilt from entry reports and
// endpoint load reports, and never stored.

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libperidotreach/caller_counters.h"
#include "libperidotreach/cells.h"
#include "libperidotreach/endpoint_health.h"
#include "libperidotreach/endpoint_load.h"
#include "libperidotreach/length_model.h"
#include "libperidotreach/memory_projection.h"
#include "libperidotreach/quarantine.h"
#include "libperidotreach/queued_request.h"
#include "libperidotreach/step_time_model.h"

namespace peridotreach {

// A granted request. `charged_tokens` are the output tokens already charged to
// its caller.
struct RunningRequest {
  QueuedRequest item;
  std::string endpoint;
  Millis granted_at = 0;
  Millis last_progress_at = 0;
  double produced_tokens = 0;
  double charged_tokens = 0;
  bool started = false;
  bool withdrawn = false;
  SurvivalCurve curve{};
};

// An endpoint of a cell. `cached_prefixes` holds the time at which each prefix
// hash was last reported as cached; `cache_confidence` is the probability with
// which such a prefix is taken to be cached still.
struct CellEndpoint {
  EndpointInfo info;
  EndpointLoad load;
  Millis load_received_at = 0;
  bool has_load_report = false;
  EndpointHealth health;
  StepTimeModel step_time_model;
  std::set<RequestKey> running;
  MemoryProjection projection;
  Millis projected_at = -1;
  std::map<std::uint64_t, Millis> cached_prefixes;
  std::uint64_t cache_sequence = 0;
  double cache_confidence = 1;
};

// Waiting requests of one rank and the service that it received.
// `window_tokens` are the recently produced tokens, decayed over time.
struct RankQueue {
  std::map<std::string, std::deque<QueuedRequest>> by_caller;
  CallerCounters counters;
  std::map<std::string, std::uint32_t> running_by_caller;
  double window_tokens = 0;
  double running = 0;
  double grants_per_second = 0;
  double grants_since_tick = 0;
  std::size_t waiting = 0;
  Millis last_contended_at = -kMinute;
};

// One cell. `ranks` is keyed by rank id; `memory_margin` is the safety margin
// of memory projections, in standard deviations.
struct CellState {
  Cell cell;
  std::map<std::string, CellEndpoint> endpoints;
  std::map<std::string, RankQueue> ranks;
  std::map<RequestKey, RunningRequest> running;
  LengthModel length_model;
  Quarantine quarantine;
  double memory_margin = 1;
  Millis last_used_at = 0;
  Millis credits_issued_at = 0;
  bool credits_outstanding = false;
};

}  // namespace peridotreach
