#pragma once

// Soft state of one cell in its dispatcher. Rebuilt from entries' reports and
// endpoints' load; never stored.

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

// A granted request. `charged` is the part of its expected cost already
// charged to its caller.
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

// An endpoint as its cell's dispatcher sees it.
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

// Waiting requests and service received by one rank.
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

// One cell.
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
