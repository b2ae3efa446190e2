#include "libperidotreach/dispatch_reducer.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libperidotreach/cell_credits.h"
#include "libperidotreach/cell_grants.h"
#include "libperidotreach/cell_load.h"
#include "libperidotreach/cell_queue.h"

namespace peridotreach {
namespace {

// Time without a report after which an entry's requests are removed.
constexpr Millis kEntryTimeout = 5 * kSecond;

// Idle time after which a cell that another dispatcher should serve is removed.
constexpr Millis kCellIdleTimeout = kMinute;

using Effects = std::vector<DispatchEffect>;

CellContext make_context(const DispatchState& state, Effects& effects) {
  return {state.config, state.now, effects,
          state.policy == DispatchPolicy::kBaseline};
}

// Returns whether this process should serve `cell`. Only model services report
// load and are dispatched; plain services are called directly.
bool is_preferred_dispatcher(const DispatchState& state, const Cell& cell) {
  const ServicePolicy* service = find_service(state.config, cell.service);
  if (service == nullptr || !service->is_model) return false;
  const auto order = dispatcher_preference(cell.id, cell.region, state.view);
  return !order.empty() && order.front() == state.vm;
}

// Returns the cell with `id`, created from the fleet view if necessary, or null
// if the view has no such cell.
CellState* find_or_create_cell(DispatchState& state, const std::string& id,
                               Effects& effects) {
  const auto found = state.cells.find(id);
  if (found != state.cells.end()) {
    found->second.last_used_at = state.now;
    return &found->second;
  }
  for (const Cell& cell : cells_of(state.view)) {
    if (cell.id != id) continue;
    CellState& created = state.cells[id];
    created.cell = cell;
    created.last_used_at = state.now;
    apply_view(created, make_context(state, effects), state.view);
    return &created;
  }
  return nullptr;
}

// Records the report's sender. Removes the requests of an earlier incarnation
// and asks a new one for a full report.
void record_entry_report(DispatchState& state, const EntryReported& report,
                         Effects& effects) {
  KnownEntry& entry = state.entries[report.vm];
  const bool is_new_incarnation = entry.incarnation != report.incarnation;
  entry.incarnation = report.incarnation;
  entry.last_report_at = state.now;
  if (!is_new_incarnation) return;
  for (auto& [id, cell] : state.cells) {
    remove_entry_requests(cell, state.config, report.vm, report.incarnation);
  }
  if (!report.full) effects.emplace_back(RequestFullReport{report.vm});
}

// Removes the running requests of an entry that its full report does not list.
// Keeps those of recent grants, which may not have reached the entry yet.
void remove_unlisted_requests(DispatchState& state,
                              const EntryReported& report) {
  std::set<std::uint64_t> listed;
  for (const QueuedRequest& item : report.enqueue) {
    listed.insert(item.key.request);
  }
  for (const RunProgress& progress : report.progress) {
    listed.insert(progress.item.key.request);
  }
  for (auto& [id, cell] : state.cells) {
    std::vector<RequestKey> unlisted;
    for (const auto& [key, request] : cell.running) {
      if (key.vm != report.vm || listed.contains(key.request)) continue;
      if (state.now - request.granted_at < kGrantLifetime) continue;
      unlisted.push_back(key);
    }
    for (const RequestKey& key : unlisted) {
      remove_running(cell, state.config, key);
    }
  }
}

bool is_ongoing(const RunProgress& progress) {
  return progress.state == RunState::kGranted ||
         progress.state == RunState::kStarted;
}

CellState* cell_of_endpoint(DispatchState& state, const std::string& endpoint) {
  for (auto& [id, cell] : state.cells) {
    if (cell.endpoints.contains(endpoint)) return &cell;
  }
  return nullptr;
}

// Returns the cell of a progress report, or null if it is not known. A full
// report states the cell. Otherwise the cell is the one that has the request,
// or, for a request started on a credit, the one that has the endpoint.
CellState* cell_of_progress(DispatchState& state, const RunProgress& progress,
                            Effects& effects) {
  if (!progress.item.cell.empty()) {
    return find_or_create_cell(state, progress.item.cell, effects);
  }
  for (auto& [id, cell] : state.cells) {
    if (cell.running.contains(progress.item.key)) return &cell;
  }
  if (progress.item.caller.empty()) return nullptr;
  return cell_of_endpoint(state, progress.endpoint);
}

void apply(DispatchState& state, const EntryReported& report,
           Effects& effects) {
  record_entry_report(state, report, effects);
  for (const std::uint64_t request : report.dropped) {
    const RequestKey key{report.vm, report.incarnation, request};
    for (auto& [id, cell] : state.cells) {
      if (remove_waiting(cell, key)) break;
      remove_running(cell, state.config, key);
    }
  }
  for (const RunProgress& progress : report.progress) {
    CellState* cell = cell_of_progress(state, progress, effects);
    if (cell != nullptr) {
      apply_progress(*cell, make_context(state, effects), progress);
    } else if (is_ongoing(progress)) {
      effects.emplace_back(RequestFullReport{report.vm});
    }
  }
  for (const QueuedRequest& item : report.enqueue) {
    CellState* cell = find_or_create_cell(state, item.cell, effects);
    if (cell == nullptr) {
      effects.emplace_back(
          IssueRefusal{item.key, RefusalKind::kNoEndpoint, kSecond});
      continue;
    }
    enqueue(*cell, make_context(state, effects), item);
  }
  if (report.full) remove_unlisted_requests(state, report);
}

void apply(DispatchState& state, const LoadReported& report, Effects& effects) {
  CellState* cell = cell_of_endpoint(state, report.endpoint);
  if (cell != nullptr) apply_load(*cell, make_context(state, effects), report);
}

void apply(DispatchState& state, const CacheReported& report,
           Effects& /*effects*/) {
  CellState* cell = cell_of_endpoint(state, report.endpoint);
  if (cell != nullptr) apply_cache(*cell, report, state.now);
}

void apply(DispatchState& state, const EndpointDown& down, Effects& effects) {
  CellState* cell = cell_of_endpoint(state, down.endpoint);
  if (cell == nullptr) return;
  apply_endpoint_down(*cell, make_context(state, effects), down);
}

// Creates the cells that this process should serve, so that endpoint load is
// known before the first request arrives.
void create_preferred_cells(DispatchState& state, Effects& effects) {
  for (const Cell& cell : cells_of(state.view)) {
    if (state.cells.contains(cell.id)) continue;
    if (is_preferred_dispatcher(state, cell))
      find_or_create_cell(state, cell.id, effects);
  }
}

void apply(DispatchState& state, const DispatchViewChanged& change,
           Effects& effects) {
  state.view = change.view;
  create_preferred_cells(state, effects);
  for (const Cell& cell : cells_of(state.view)) {
    const auto found = state.cells.find(cell.id);
    if (found == state.cells.end()) continue;
    found->second.cell = cell;
    apply_view(found->second, make_context(state, effects), state.view);
  }
}

void apply(DispatchState& state, const DispatchConfigChanged& change,
           Effects& effects) {
  if (change.config.revision < state.config.revision) return;
  state.config = change.config;
  for (auto& [id, cell] : state.cells) {
    apply_view(cell, make_context(state, effects), state.view);
  }
  create_preferred_cells(state, effects);
}

void remove_timed_out_entries(DispatchState& state) {
  std::vector<std::string> timed_out;
  for (const auto& [vm, entry] : state.entries) {
    if (state.now - entry.last_report_at > kEntryTimeout)
      timed_out.push_back(vm);
  }
  for (const std::string& vm : timed_out) {
    state.entries.erase(vm);
    for (auto& [id, cell] : state.cells) {
      remove_entry_requests(cell, state.config, vm, 0);
    }
  }
}

void remove_idle_cells(DispatchState& state, Effects& effects) {
  std::vector<std::string> idle;
  for (const auto& [id, cell] : state.cells) {
    if (state.now - cell.last_used_at < kCellIdleTimeout) continue;
    if (is_preferred_dispatcher(state, cell.cell)) continue;
    idle.push_back(id);
  }
  for (const std::string& id : idle) {
    for (const auto& [endpoint, unused] : state.cells.at(id).endpoints) {
      effects.emplace_back(UnwatchEndpoint{endpoint});
    }
    state.cells.erase(id);
  }
}

void apply(DispatchState& state, const DispatchTicked& /*tick*/,
           Effects& effects) {
  remove_timed_out_entries(state);
  remove_idle_cells(state, effects);
  const Millis elapsed =
      state.last_tick_at == 0 ? 0 : state.now - state.last_tick_at;
  state.last_tick_at = state.now;
  for (auto& [id, cell] : state.cells) {
    advance_cell(cell, make_context(state, effects), elapsed);
    expire_requests(cell, make_context(state, effects));
  }
}

std::vector<std::string> known_vms(const DispatchState& state) {
  std::vector<std::string> vms;
  vms.reserve(state.entries.size());
  for (const auto& [vm, entry] : state.entries) vms.push_back(vm);
  return vms;
}

}  // namespace

DispatchState initial_dispatch_state(const std::string& vm,
                                     DispatchPolicy policy) {
  DispatchState state;
  state.vm = vm;
  state.policy = policy;
  return state;
}

DispatchStep reduce(DispatchState state, const DispatchEvent& event) {
  DispatchStep step{std::move(state), {}};
  step.state.now = std::max(step.state.now, event.at);
  std::visit([&](const auto& body) { apply(step.state, body, step.effects); },
             event.body);
  const std::vector<std::string> vms = known_vms(step.state);
  for (auto& [id, cell] : step.state.cells) {
    const CellContext context = make_context(step.state, step.effects);
    issue_grants(cell, context);
    update_credits(cell, context, vms);
  }
  return step;
}

const char* grant_reason_name(GrantReason reason) {
  switch (reason) {
    case GrantReason::kRankOrder:
      return "rank_order";
    case GrantReason::kFloor:
      return "floor";
    case GrantReason::kCacheHit:
      return "cache_hit";
    case GrantReason::kProbe:
      return "probe";
    case GrantReason::kBaseline:
      return "baseline";
  }
  return "unknown";
}

}  // namespace peridotreach
