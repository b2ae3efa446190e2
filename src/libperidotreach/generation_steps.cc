#include "libperidotreach/generation_steps.h"

#include <utility>

#include "libperidotreach/cells.h"
#include "libperidotreach/entry_dispatchers.h"

namespace peridotreach {
namespace {

// Reconnects without an event after which an endpoint counts as lost.
constexpr std::uint32_t kMaxReconnects = 4;

// Retries of one request on other endpoints.
constexpr std::uint32_t kMaxRetries = 6;

// Delay before a reconnect if no event arrived since the previous one.
constexpr Millis kReconnectDelay = 250;

}  // namespace

Generation* find_generation(EntryState& state, std::uint64_t request) {
  const auto found = state.generations.find(request);
  return found == state.generations.end() ? nullptr : &found->second;
}

const RankPolicy& rank_policy(const EntryState& state, const std::string& id) {
  static const RankPolicy kUnknown;
  const RankPolicy* rank = find_rank(state.config, id);
  return rank == nullptr ? kUnknown : *rank;
}

std::string choose_cell(const EntryState& state, const Generation& generation) {
  const std::uint64_t seed =
      generation.queued_request.prefix_hashes.empty()
          ? generation.queued_request.fingerprint
          : generation.queued_request.prefix_hashes.front();
  std::string best;
  std::uint64_t best_score = 0;
  bool best_same_region = false;
  for (const Cell& cell : state.cells) {
    if (cell.service != generation.service) continue;
    if (generation.tried_cells.contains(cell.id)) continue;
    const bool same_region = cell.region == state.self.region;
    if (!best.empty() && best_same_region && !same_region) continue;
    const std::uint64_t score = stable_hash(cell.id, seed);
    if (!best.empty() && score <= best_score) continue;
    best = cell.id;
    best_score = score;
    best_same_region = same_region;
  }
  return best;
}

void report_progress(const EntryContext& context, const Generation& generation,
                     RunState run) {
  if (generation.dispatcher.empty()) return;
  record_message_sent(context.state, generation.dispatcher);
  if (run == RunState::kLost) {
    context.state.lost_fingerprints[generation.queued_request.fingerprint] =
        context.state.now;
  }
  context.effects.emplace_back(
      SendProgress{generation.dispatcher,
                   {generation.queued_request, generation.endpoint,
                    generation.produced_tokens, run},
                   false});
}

void close_attempt(const EntryContext& context, Generation& generation) {
  context.effects.emplace_back(DisconnectEndpoint{
      generation.queued_request.key.request, generation.attempt});
  generation.attempt += 1;
}

void observe(const EntryContext& context, const Generation& generation,
             MetricKind metric, double value) {
  context.effects.emplace_back(Observe{metric, generation.queued_request.rank,
                                       generation.queued_request.caller,
                                       value});
}

void finish_generation(const EntryContext& context, std::uint64_t request,
                       FinishRequest outcome) {
  EntryState& state = context.state;
  const auto found = state.generations.find(request);
  if (found == state.generations.end()) return;
  const Generation& generation = found->second;
  if (outcome.ran == ExecutionStatus::kNotExecuted)
    outcome.ran = generation.ran;
  const bool refused = outcome.kind != RefusalKind::kNone &&
                       outcome.kind != RefusalKind::kCancelled;
  if (refused) {
    count_refusal(context, {generation.queued_request.caller,
                            generation.queued_request.rank, generation.service,
                            outcome.kind});
  }
  record_explanation(context, request, "finished", refusal_name(outcome.kind));
  context.effects.emplace_back(outcome);
  if (!generation.idempotency_key.empty()) {
    const auto key = std::make_pair(generation.queued_request.caller,
                                    generation.idempotency_key);
    const auto entry = state.requests_by_idempotency_key.find(key);
    if (entry != state.requests_by_idempotency_key.end() &&
        entry->second == request) {
      state.requests_by_idempotency_key.erase(entry);
    }
  }
  state.generations.erase(found);
}

void dequeue_generation(const EntryContext& context,
                        const Generation& generation) {
  if (generation.stage != GenerationStage::kQueued) return;
  if (generation.dispatcher.empty()) return;
  context.effects.emplace_back(SendDequeue{
      generation.dispatcher, generation.queued_request.key.request});
}

void queue_generation(const EntryContext& context, std::uint64_t request) {
  EntryState& state = context.state;
  Generation& generation = state.generations.at(request);
  if (generation.queued_request.cell.empty()) {
    generation.queued_request.cell = choose_cell(state, generation);
  }
  if (generation.queued_request.cell.empty()) {
    finish_generation(context, request,
                      {request, RefusalKind::kNoEndpoint,
                       ExecutionStatus::kNotExecuted, 5 * kSecond});
    return;
  }
  generation.stage = GenerationStage::kQueued;
  generation.stage_entered_at = state.now;
  generation.endpoint.clear();
  generation.generation_id.clear();
  generation.dispatcher =
      choose_dispatcher(state, generation.queued_request.cell);
  if (generation.dispatcher.empty()) {
    finish_generation(context, request,
                      {request, RefusalKind::kNoDispatcher,
                       ExecutionStatus::kNotExecuted, kSecond});
    return;
  }
  record_explanation(
      context, request, "queued",
      generation.queued_request.cell + " at " + generation.dispatcher);
  record_message_sent(state, generation.dispatcher);
  context.effects.emplace_back(
      SendEnqueue{generation.dispatcher, generation.queued_request});
}

void connect_endpoint(const EntryContext& context, std::uint64_t request) {
  EntryState& state = context.state;
  Generation& generation = state.generations.at(request);
  generation.attempt += 1;
  generation.ran_before_attempt = generation.ran;
  if (generation.ran == ExecutionStatus::kNotExecuted)
    generation.ran = ExecutionStatus::kUnknown;
  generation.stage_entered_at = state.now;
  generation.last_activity_at = state.now;
  const RankPolicy& rank = rank_policy(state, generation.queued_request.rank);
  context.effects.emplace_back(ConnectEndpoint{
      request, generation.attempt, generation.endpoint,
      generation.generation_id, generation.next_sequence - 1, rank.order});
}

void retry_elsewhere(const EntryContext& context, std::uint64_t request,
                     RunState run, const std::string& cause) {
  EntryState& state = context.state;
  Generation& generation = state.generations.at(request);
  report_progress(context, generation, run);
  record_explanation(context, request, "retry",
                     cause + " at " + generation.endpoint);
  close_attempt(context, generation);
  const bool too_late = state.now >= generation.start_deadline;
  const bool exhausted =
      generation.retries >= kMaxRetries || !try_take_retry(state.retry_budget);
  if (too_late || exhausted) {
    finish_generation(context, request,
                      {request, RefusalKind::kEndpointLost,
                       ExecutionStatus::kNotExecuted, kSecond});
    return;
  }
  generation.retries += 1;
  generation.next_sequence = 0;
  generation.produced_tokens = 0;
  generation.reported_tokens = 0;
  generation.reconnects = 0;
  generation.queued_request.excluded_endpoints.push_back(generation.endpoint);
  generation.stage = GenerationStage::kAwaitingRetry;
  generation.endpoint.clear();
  generation.generation_id.clear();
  generation.retry_at =
      state.now + retry_delay(generation.retries, next_random(state));
}

void reconnect(const EntryContext& context, std::uint64_t request,
               const std::string& cause) {
  Generation& generation = context.state.generations.at(request);
  if (generation.reconnects >= kMaxReconnects) {
    if (!generation.token_delivered) {
      retry_elsewhere(context, request, RunState::kLost, "no_progress");
      return;
    }
    report_progress(context, generation, RunState::kLost);
    finish_generation(context, request,
                      {request, RefusalKind::kEndpointLost,
                       ExecutionStatus::kPartlyExecuted, 0});
    return;
  }
  generation.reconnects += 1;
  record_explanation(context, request, "resume",
                     cause + " at " + generation.endpoint);
  close_attempt(context, generation);
  if (generation.reconnects == 1) {
    connect_endpoint(context, request);
    return;
  }
  generation.retry_at = context.state.now + kReconnectDelay;
}

void handle_endpoint_loss(const EntryContext& context, std::uint64_t request,
                          const std::string& cause) {
  const Generation& generation = context.state.generations.at(request);
  if (!generation.token_delivered && !generation.resumed) {
    retry_elsewhere(context, request, RunState::kLost, cause);
    return;
  }
  record_explanation(context, request, "endpoint_lost",
                     cause + " " + generation.endpoint);
  report_progress(context, generation, RunState::kLost);
  finish_generation(context, request,
                    {request, RefusalKind::kEndpointLost,
                     ExecutionStatus::kPartlyExecuted, 0});
}

void cancel_running(const EntryContext& context, Generation& generation,
                    bool only_unwatched) {
  close_attempt(context, generation);
  if (generation.generation_id.empty()) return;
  context.effects.emplace_back(CancelGeneration{
      generation.endpoint, generation.generation_id, only_unwatched});
}

}  // namespace peridotreach
