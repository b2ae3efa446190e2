#include <algorithm>
#include <utility>
#include <vector>

#include "libperidotreach/entry_streams.h"
#include "libperidotreach/generation_steps.h"

namespace peridotreach {
namespace {

// Gap between tokens above which the excess counts as stall time.
constexpr Millis kStallThreshold = 500;

// Progress is first reported at this number of tokens, then whenever the number
// has doubled.
constexpr std::uint32_t kFirstProgressTokens = 128;

void record_token(const EntryContext& context, Generation& generation) {
  const Millis now = context.state.now;
  if (generation.produced_tokens == 0 && !generation.resumed) {
    observe(context, generation, MetricKind::kTimeToFirstToken,
            static_cast<double>(now - generation.arrived_at));
  }
  if (generation.last_token_at > 0) {
    const Millis gap = now - generation.last_token_at;
    observe(context, generation, MetricKind::kTokenGap,
            static_cast<double>(gap));
    if (gap > kStallThreshold) {
      observe(context, generation, MetricKind::kStall,
              static_cast<double>(gap - kStallThreshold));
    }
  }
  generation.last_token_at = now;
  generation.produced_tokens += 1;
  const std::uint32_t due =
      std::max(kFirstProgressTokens, 2 * generation.reported_tokens);
  if (generation.produced_tokens < due) return;
  generation.reported_tokens = generation.produced_tokens;
  report_progress(context, generation, RunState::kStarted);
}

// How one event was handled; kGap means that events before it are missing.
enum class EventAction : std::uint8_t { kRelay, kDrop, kGap };

EventAction accept_event(Generation& generation, const StreamEvent& event) {
  if (event.kind == StreamEventKind::kHeartbeat) return EventAction::kDrop;
  if (event.sequence < generation.next_sequence) return EventAction::kDrop;
  if (event.sequence > generation.next_sequence) return EventAction::kGap;
  generation.next_sequence += 1;
  generation.reconnects = 0;
  return EventAction::kRelay;
}

// Returns whether `event` names another generation than the one that this
// request runs.
bool is_from_other_generation(const Generation& generation,
                              const StreamEvent& event) {
  if (event.generation_id.empty()) return false;
  return !generation.generation_id.empty() &&
         generation.generation_id != event.generation_id;
}

// Result of reading a batch of events.
struct BatchResult {
  bool ended = false;
  bool failed = false;
  bool broken = false;
};

BatchResult read_events(const EntryContext& context, Generation& generation,
                        const std::vector<StreamEvent>& events,
                        RelayEvents& relay) {
  BatchResult result;
  for (const StreamEvent& event : events) {
    if (is_from_other_generation(generation, event)) {
      result.broken = true;
      return result;
    }
    if (!event.generation_id.empty())
      generation.generation_id = event.generation_id;
    const EventAction action = accept_event(generation, event);
    if (action == EventAction::kDrop) continue;
    if (action == EventAction::kGap) {
      result.broken = true;
      return result;
    }
    if (event.kind == StreamEventKind::kToken) {
      record_token(context, generation);
      generation.token_delivered = true;
    }
    result.ended = event.kind == StreamEventKind::kCompleted;
    result.failed = event.kind == StreamEventKind::kFailed;
    relay.events.push_back(event);
    if (result.ended || result.failed) return result;
  }
  return result;
}

void complete(const EntryContext& context, std::uint64_t request) {
  const Generation& generation = context.state.generations.at(request);
  observe(context, generation, MetricKind::kOutputLength,
          generation.produced_tokens);
  report_progress(context, generation, RunState::kFinished);
  finish_generation(
      context, request,
      {request, RefusalKind::kNone, ExecutionStatus::kExecuted, 0});
}

}  // namespace

void on_endpoint_connected(const EntryContext& context,
                           const EndpointConnected& event) {
  Generation* generation = find_generation(context.state, event.request);
  if (generation == nullptr || generation->attempt != event.attempt) return;
  generation->last_activity_at = context.state.now;
  const bool known = generation->endpoint_incarnation != 0 &&
                     !generation->generation_id.empty();
  if (known && generation->endpoint_incarnation != event.incarnation) {
    handle_endpoint_loss(context, event.request, "restarted");
    return;
  }
  generation->endpoint_incarnation = event.incarnation;
  generation->ran = ExecutionStatus::kPartlyExecuted;
  if (generation->stage == GenerationStage::kConnecting) {
    generation->stage = GenerationStage::kStreaming;
  }
}

void on_stream_events(const EntryContext& context,
                      const StreamEventsReceived& event) {
  Generation* generation = find_generation(context.state, event.request);
  if (generation == nullptr || generation->attempt != event.attempt) return;
  generation->last_activity_at = context.state.now;
  const bool first = generation->produced_tokens == 0;
  RelayEvents relay;
  relay.request = event.request;
  relay.endpoint = generation->endpoint;
  relay.endpoint_incarnation = generation->endpoint_incarnation;
  const BatchResult result =
      read_events(context, *generation, event.events, relay);
  relay.generation_id = generation->generation_id;
  if (first && generation->produced_tokens > 0) {
    report_progress(context, *generation, RunState::kStarted);
  }
  if (!relay.events.empty()) context.effects.emplace_back(std::move(relay));
  if (result.broken) {
    reconnect(context, event.request, "gap_or_foreign_answer");
    return;
  }
  if (result.failed) {
    close_attempt(context, *generation);
    report_progress(context, *generation, RunState::kLost);
    finish_generation(context, event.request,
                      {event.request, RefusalKind::kEndpointLost,
                       ExecutionStatus::kPartlyExecuted, 0});
    return;
  }
  if (result.ended) complete(context, event.request);
}

}  // namespace peridotreach
