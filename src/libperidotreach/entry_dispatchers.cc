#include "libperidotreach/entry_dispatchers.h"

#include <algorithm>
#include <vector>

#include "libperidotreach/cells.h"

namespace peridotreach {
namespace {

// How long a suspected dispatcher is not chosen.
constexpr Millis kSuspicionDuration = 4 * kSecond;

// Time since the last message to a dispatcher after which its silence is no
// longer a reason to suspect it.
constexpr Millis kIdleDispatcherTimeout = 10 * kSecond;

bool is_suspected(const EntryState& state, const std::string& vm) {
  const auto found = state.dispatchers.find(vm);
  if (found == state.dispatchers.end()) return false;
  return found->second.suspected_until > state.now;
}

RunProgress progress_of(const Generation& generation) {
  const bool started = generation.stage == GenerationStage::kStreaming;
  return {generation.queued_request, generation.endpoint,
          generation.produced_tokens,
          started ? RunState::kStarted : RunState::kGranted};
}

// Moves all requests of `from` to the next dispatchers in rendezvous order.
void move_requests(const EntryContext& context, const std::string& from) {
  EntryState& state = context.state;
  std::vector<std::string> targets;
  for (auto& [request, generation] : state.generations) {
    if (generation.dispatcher != from) continue;
    const std::string next =
        choose_dispatcher(state, generation.queued_request.cell);
    if (next.empty() || next == from) continue;
    generation.dispatcher = next;
    if (std::find(targets.begin(), targets.end(), next) == targets.end()) {
      targets.push_back(next);
    }
    record_explanation(context, request, "dispatcher_changed", next);
  }
  for (const std::string& target : targets) send_full_report(context, target);
}

bool in_use(const EntryState& state, const std::string& dispatcher) {
  return std::any_of(
      state.generations.begin(), state.generations.end(),
      [&](const auto& entry) { return entry.second.dispatcher == dispatcher; });
}

void suspect_silent_dispatchers(const EntryContext& context) {
  EntryState& state = context.state;
  std::vector<std::string> silent;
  for (auto& [vm, status] : state.dispatchers) {
    if (status.suspected_until > state.now) continue;
    if (status.awaiting_reply_since <= status.last_reply_at) continue;
    const bool timed_out =
        state.now - status.last_reply_at > kDispatcherTimeout &&
        state.now - status.last_sent_at < kIdleDispatcherTimeout;
    if (!timed_out) continue;
    status.suspected_until = state.now + kSuspicionDuration;
    silent.push_back(vm);
  }
  for (const std::string& vm : silent) move_requests(context, vm);
}

}  // namespace

std::string choose_dispatcher(const EntryState& state,
                              const std::string& cell) {
  const auto order = dispatcher_preference(cell, state.self.region, state.view);
  for (const std::string& vm : order) {
    if (!is_suspected(state, vm)) return vm;
  }
  return order.empty() ? std::string() : order.front();
}

void record_message_sent(EntryState& state, const std::string& dispatcher) {
  DispatcherStatus& status = state.dispatchers[dispatcher];
  // If no reply is outstanding, kDispatcherTimeout counts from this message:
  // the time of the last reply advances to 1 ms ago, just before
  // `awaiting_reply_since`.
  if (status.awaiting_reply_since <= status.last_reply_at) {
    status.last_reply_at = std::max(status.last_reply_at, state.now - 1);
    status.awaiting_reply_since = state.now;
  }
  status.last_sent_at = state.now;
  // Any message also serves as a heartbeat.
  status.last_heartbeat_at = state.now;
}

void record_message_received(EntryState& state, const std::string& dispatcher) {
  DispatcherStatus& status = state.dispatchers[dispatcher];
  status.last_reply_at = state.now;
  status.suspected_until = 0;
}

void send_full_report(const EntryContext& context,
                      const std::string& dispatcher) {
  EntryState& state = context.state;
  SendReport report;
  report.dispatcher = dispatcher;
  report.full = true;
  for (const auto& [request, generation] : state.generations) {
    if (generation.dispatcher != dispatcher) continue;
    const bool running = generation.stage == GenerationStage::kConnecting ||
                         generation.stage == GenerationStage::kStreaming;
    if (running) report.progress.push_back(progress_of(generation));
    if (generation.stage == GenerationStage::kQueued) {
      report.enqueue.push_back(generation.queued_request);
    }
  }
  record_message_sent(state, dispatcher);
  context.effects.emplace_back(std::move(report));
}

void maintain_dispatchers(const EntryContext& context) {
  EntryState& state = context.state;
  suspect_silent_dispatchers(context);
  std::vector<std::string> due;
  for (const auto& [vm, status] : state.dispatchers) {
    if (!in_use(state, vm)) continue;
    if (state.now - status.last_heartbeat_at >= kHeartbeatInterval) {
      due.push_back(vm);
    }
  }
  for (const std::string& vm : due) {
    record_message_sent(state, vm);
    context.effects.emplace_back(SendReport{vm, false, {}, {}});
  }
}

}  // namespace peridotreach
