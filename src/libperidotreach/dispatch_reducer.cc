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

// Silence after which an entry's requests are forgotten.
constexpr Millis kEntrySilence = 5 * kSecond;

// Idle time after which a cell of another dispatcher is dropped.
constexpr Millis kCellIdle = kMinute;

using Effects = std::vector<DispatchEffect>;

CellContext context_of(const DispatchState& state, Effects& effects) {
  return {state.config, state.now, effects,
          state.policy == DispatchPolicy::kBaseline};
}

// Only model services have load to watch; plain ones are called directly.
bool is_first_choice(const DispatchState& state, const Cell& cell) {
  const ServicePolicy* service = find_service(state.config, cell.service);
  if (service == nullptr || !service->is_model) return false;
  const auto order = dispatcher_preference(cell.id, cell.region, state.view);
  return !order.empty() && order.front() == state.vm;
}

// Returns the cell with `id`, created from the view if need be, or null.
CellState* open_cell(DispatchState& state, const std::string& id,
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
    apply_view(created, context_of(state, effects), state.view);
    return &created;
  }
  return nullptr;
}

void hear_entry(DispatchState& state, const EntryReported& report,
                Effects& effects) {
  KnownEntry& entry = state.entries[report.vm];
  const bool fresh = entry.incarnation != report.incarnation;
  entry.incarnation = report.incarnation;
  entry.last_report_at = state.now;
  if (!fresh) return;
  for (auto& [id, cell] : state.cells) {
    remove_entry_requests(cell, state.config, report.vm, report.incarnation);
  }
  if (!report.full) effects.emplace_back(RequestFullReport{report.vm});
}

// A full report names every request of the entry; others are forgotten.
void drop_unnamed(DispatchState& state, const EntryReported& report) {
  std::set<std::uint64_t> named;
  for (const QueuedRequest& item : report.enqueue) {
    named.insert(item.key.request);
  }
  for (const RunProgress& progress : report.progress) {
    named.insert(progress.item.key.request);
  }
  for (auto& [id, cell] : state.cells) {
    std::vector<RequestKey> unnamed;
    for (const auto& [key, request] : cell.running) {
      if (key.vm != report.vm || named.contains(key.request)) continue;
      if (state.now - request.granted_at < kGrantLifetime) continue;
      unnamed.push_back(key);
    }
    for (const RequestKey& key : unnamed) {
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

// Returns the cell of a progress report. Full reports name the cell, known
// requests have theirs, and one started on a credit is in its endpoint's.
CellState* cell_of_progress(DispatchState& state, const RunProgress& progress,
                            Effects& effects) {
  if (!progress.item.cell.empty()) {
    return open_cell(state, progress.item.cell, effects);
  }
  for (auto& [id, cell] : state.cells) {
    if (cell.running.contains(progress.item.key)) return &cell;
  }
  if (progress.item.caller.empty()) return nullptr;
  return cell_of_endpoint(state, progress.endpoint);
}

void apply(DispatchState& state, const EntryReported& report,
           Effects& effects) {
  hear_entry(state, report, effects);
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
      apply_progress(*cell, context_of(state, effects), progress);
    } else if (is_ongoing(progress)) {
      effects.emplace_back(RequestFullReport{report.vm});
    }
  }
  for (const QueuedRequest& item : report.enqueue) {
    CellState* cell = open_cell(state, item.cell, effects);
    if (cell == nullptr) {
      effects.emplace_back(
          IssueRefusal{item.key, RefusalKind::kNoEndpoint, kSecond});
      continue;
    }
    enqueue(*cell, context_of(state, effects), item);
  }
  if (report.full) drop_unnamed(state, report);
}

void apply(DispatchState& state, const LoadReported& report, Effects& effects) {
  CellState* cell = cell_of_endpoint(state, report.endpoint);
  if (cell != nullptr) apply_load(*cell, context_of(state, effects), report);
}

void apply(DispatchState& state, const CacheReported& report,
           Effects& /*effects*/) {
  CellState* cell = cell_of_endpoint(state, report.endpoint);
  if (cell != nullptr) apply_cache(*cell, report, state.now);
}

void apply(DispatchState& state, const EndpointDown& down, Effects& effects) {
  CellState* cell = cell_of_endpoint(state, down.endpoint);
  if (cell == nullptr) return;
  apply_endpoint_down(*cell, context_of(state, effects), down);
}

// Opens the cells that this dispatcher should serve, so that load is known
// before the first request comes.
void open_own_cells(DispatchState& state, Effects& effects) {
  for (const Cell& cell : cells_of(state.view)) {
    if (state.cells.contains(cell.id)) continue;
    if (is_first_choice(state, cell)) open_cell(state, cell.id, effects);
  }
}

void apply(DispatchState& state, const DispatchViewChanged& change,
           Effects& effects) {
  state.view = change.view;
  open_own_cells(state, effects);
  for (const Cell& cell : cells_of(state.view)) {
    const auto found = state.cells.find(cell.id);
    if (found == state.cells.end()) continue;
    found->second.cell = cell;
    apply_view(found->second, context_of(state, effects), state.view);
  }
}

void apply(DispatchState& state, const DispatchConfigChanged& change,
           Effects& effects) {
  if (change.config.revision < state.config.revision) return;
  state.config = change.config;
  for (auto& [id, cell] : state.cells) {
    apply_view(cell, context_of(state, effects), state.view);
  }
  open_own_cells(state, effects);
}

void forget_silent_entries(DispatchState& state) {
  std::vector<std::string> silent;
  for (const auto& [vm, entry] : state.entries) {
    if (state.now - entry.last_report_at > kEntrySilence) silent.push_back(vm);
  }
  for (const std::string& vm : silent) {
    state.entries.erase(vm);
    for (auto& [id, cell] : state.cells) {
      remove_entry_requests(cell, state.config, vm, 0);
    }
  }
}

void drop_idle_cells(DispatchState& state, Effects& effects) {
  std::vector<std::string> idle;
  for (const auto& [id, cell] : state.cells) {
    if (state.now - cell.last_used_at < kCellIdle) continue;
    if (is_first_choice(state, cell.cell)) continue;
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
  forget_silent_entries(state);
  drop_idle_cells(state, effects);
  const Millis elapsed =
      state.last_tick_at == 0 ? 0 : state.now - state.last_tick_at;
  state.last_tick_at = state.now;
  for (auto& [id, cell] : state.cells) {
    advance_cell(cell, context_of(state, effects), elapsed);
    expire_requests(cell, context_of(state, effects));
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
    const CellContext context = context_of(step.state, step.effects);
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
