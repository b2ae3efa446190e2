#include "libperidotreach/cell_queue.h"

#include <algorithm>

#include "libperidotreach/admission.h"

namespace peridotreach {
namespace {

// Cost of a prompt token relative to an output token.
constexpr double kPromptTokenCost = 0.1;

bool is_waiting(const CellState& cell, const RequestKey& key) {
  for (const auto& [rank, queue] : cell.ranks) {
    for (const auto& [caller, items] : queue.by_caller) {
      const bool found =
          std::any_of(items.begin(), items.end(),
                      [&](const auto& item) { return item.key == key; });
      if (found) return true;
    }
  }
  return false;
}

// Counts the tokens produced since the last report, and charges the caller for
// those beyond the expected length, which was charged when the request was
// granted.
void charge_progress(CellState& cell, const FleetConfig& config,
                     RunningRequest& request, double produced) {
  const double new_tokens = produced - request.produced_tokens;
  if (new_tokens <= 0) return;
  RankQueue& queue = cell.ranks[request.item.rank];
  queue.window_tokens += new_tokens;
  request.produced_tokens = produced;
  const double uncharged = produced - request.charged_tokens;
  if (uncharged <= 0) return;
  charge(queue.counters, request.item.caller, uncharged,
         caller_share(config, request.item.caller));
  request.charged_tokens = produced;
}

void refuse(const CellContext& context, const RequestKey& key,
            const AdmissionDecision& decision) {
  context.effects.emplace_back(
      IssueRefusal{key, decision.kind, decision.retry_after});
}

// Removes a running request that ended. If it finished, updates the length
// model and records the success of its endpoint; if it was lost, ejects the
// endpoint.
void finish_running(CellState& cell, const CellContext& context,
                    const RunProgress& progress) {
  const auto found = cell.running.find(progress.item.key);
  if (found == cell.running.end()) return;
  RunningRequest& request = found->second;
  charge_progress(cell, context.config, request, progress.produced_tokens);
  if (progress.state == RunState::kFinished) {
    observe_length(cell.length_model, request.item.rank, request.item.caller,
                   progress.produced_tokens);
    clear_suspect(cell.quarantine, request.item.fingerprint);
    const auto endpoint = cell.endpoints.find(request.endpoint);
    if (endpoint != cell.endpoints.end()) {
      record_success(endpoint->second.health);
    }
  }
  if (progress.state == RunState::kLost) {
    const auto endpoint = cell.endpoints.find(request.endpoint);
    if (endpoint != cell.endpoints.end()) {
      eject(endpoint->second.health, context.now);
    }
  }
  remove_running(cell, context.config, progress.item.key);
}

}  // namespace

void enqueue(CellState& cell, const CellContext& context,
             const QueuedRequest& item) {
  if (is_waiting(cell, item.key)) return;
  if (cell.running.contains(item.key)) {
    // The entry gave up the grant and queues the request again.
    remove_running(cell, context.config, item.key);
  }
  if (!context.baseline) {
    if (crash_count(cell.quarantine, item.fingerprint, context.now) >=
        kQuarantineCrashes) {
      refuse(context, item.key, {RefusalKind::kQuarantined, kSuspectLifetime});
      return;
    }
    const AdmissionDecision decision =
        admit(cell, context.config, item, context.now);
    if (decision.kind != RefusalKind::kNone) {
      refuse(context, item.key, decision);
      return;
    }
  }
  RankQueue& queue = cell.ranks[item.rank];
  auto& own_queue = queue.by_caller[item.caller];
  const auto running = queue.running_by_caller.find(item.caller);
  const bool idle =
      own_queue.empty() &&
      (running == queue.running_by_caller.end() || running->second == 0);
  if (idle) raise_to_virtual_time(queue.counters, item.caller);
  const bool earlier =
      !own_queue.empty() && item.queued_at < own_queue.front().queued_at;
  if (earlier) {
    own_queue.push_front(item);
  } else {
    own_queue.push_back(item);
  }
  queue.waiting += 1;
}

bool remove_waiting(CellState& cell, const RequestKey& key) {
  for (auto& [rank, queue] : cell.ranks) {
    for (auto& [caller, items] : queue.by_caller) {
      const auto found =
          std::find_if(items.begin(), items.end(),
                       [&](const auto& item) { return item.key == key; });
      if (found == items.end()) continue;
      items.erase(found);
      queue.waiting -= 1;
      return true;
    }
  }
  return false;
}

void apply_progress(CellState& cell, const CellContext& context,
                    const RunProgress& progress) {
  const bool ended = progress.state == RunState::kFinished ||
                     progress.state == RunState::kLost ||
                     progress.state == RunState::kCancelled;
  if (ended) {
    finish_running(cell, context, progress);
    return;
  }
  auto found = cell.running.find(progress.item.key);
  if (found == cell.running.end()) {
    remove_waiting(cell, progress.item.key);
    add_running(cell, context, progress.item, progress.endpoint);
    found = cell.running.find(progress.item.key);
  }
  RunningRequest& request = found->second;
  charge_progress(cell, context.config, request, progress.produced_tokens);
  request.started = request.started || progress.state == RunState::kStarted;
  request.last_progress_at = context.now;
}

void add_running(CellState& cell, const CellContext& context,
                 const QueuedRequest& item, const std::string& endpoint) {
  RunningRequest request;
  request.item = item;
  request.endpoint = endpoint;
  request.granted_at = context.now;
  request.last_progress_at = context.now;
  request.curve = survival_curve(cell.length_model, item.rank, item.caller);
  RankQueue& queue = cell.ranks[item.rank];
  request.charged_tokens = mean_remaining(request.curve, 0);
  charge(queue.counters, item.caller,
         request.charged_tokens + kPromptTokenCost * item.prompt_tokens,
         caller_share(context.config, item.caller));
  queue.running += 1;
  queue.running_by_caller[item.caller] += 1;
  const auto target = cell.endpoints.find(endpoint);
  if (target != cell.endpoints.end()) {
    target->second.running.insert(item.key);
    add_generation(target->second.projection, request.curve, item.prompt_tokens,
                   0);
  }
  cell.running.emplace(item.key, std::move(request));
}

void remove_running(CellState& cell, const FleetConfig& config,
                    const RequestKey& key) {
  const auto found = cell.running.find(key);
  if (found == cell.running.end()) return;
  const RunningRequest& request = found->second;
  RankQueue& queue = cell.ranks[request.item.rank];
  charge(queue.counters, request.item.caller,
         request.produced_tokens - request.charged_tokens,
         caller_share(config, request.item.caller));
  queue.running -= 1;
  queue.running_by_caller[request.item.caller] -= 1;
  const auto endpoint = cell.endpoints.find(request.endpoint);
  if (endpoint != cell.endpoints.end()) {
    endpoint->second.running.erase(key);
    endpoint->second.projected_at = -1;
  }
  cell.running.erase(found);
}

void remove_entry_requests(CellState& cell, const FleetConfig& config,
                           const std::string& vm,
                           std::uint64_t keep_incarnation) {
  const auto stale = [&](const RequestKey& key) {
    return key.vm == vm && key.incarnation != keep_incarnation;
  };
  for (auto& [rank, queue] : cell.ranks) {
    for (auto& [caller, items] : queue.by_caller) {
      queue.waiting -= std::erase_if(
          items, [&](const auto& item) { return stale(item.key); });
    }
  }
  std::vector<RequestKey> running;
  for (const auto& [key, request] : cell.running) {
    if (stale(key)) running.push_back(key);
  }
  for (const RequestKey& key : running) remove_running(cell, config, key);
}

}  // namespace peridotreach
