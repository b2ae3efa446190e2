#include "libperidotreach/entry_streams.h"

#include <string>
#include <utility>
#include <vector>

#include "libperidotreach/cell_credits.h"
#include "libperidotreach/cells.h"
#include "libperidotreach/entry_dispatchers.h"
#include "libperidotreach/generation_steps.h"

namespace peridotreach {
namespace {

// Time for an endpoint to accept a request.
constexpr Millis kConnectTimeout = 4 * kSecond;

// Takes one credit for the request, from the endpoint that its prefix hashes
// to: equal prefixes map to the same endpoint and can share its prefix cache.
// Returns the endpoint, or an empty string if there is no credit.
std::string take_credit(EntryState& state, HeldCredits& held,
                        const QueuedRequest& queued) {
  const std::uint64_t seed = queued.prefix_hashes.empty()
                                 ? queued.fingerprint
                                 : queued.prefix_hashes.front();
  Credit* best = nullptr;
  std::uint64_t best_score = 0;
  for (Credit& credit : held.credits) {
    if (credit.count == 0 || credit.model != queued.model) continue;
    const EndpointInfo* endpoint = find_endpoint(state.view, credit.endpoint);
    if (endpoint == nullptr || endpoint->leaving) continue;
    if (is_drained(state.config, credit.endpoint)) continue;
    const std::uint64_t score = stable_hash(credit.endpoint, seed);
    if (best != nullptr && score <= best_score) continue;
    best = &credit;
    best_score = score;
  }
  if (best == nullptr) return {};
  best->count -= 1;
  return best->endpoint;
}

// Starts the generation on a credit if there is one. Returns whether it
// started.
bool start_on_credit(const EntryContext& context, std::uint64_t request) {
  EntryState& state = context.state;
  Generation& generation = state.generations.at(request);
  generation.queued_request.cell = choose_cell(state, generation);
  const auto held = state.credits.find(generation.queued_request.cell);
  if (held == state.credits.end()) return false;
  if (state.now >= held->second.valid_until) return false;
  if (state.lost_fingerprints.contains(generation.queued_request.fingerprint)) {
    return false;
  }
  const std::string endpoint =
      take_credit(state, held->second, generation.queued_request);
  if (endpoint.empty()) return false;
  generation.endpoint = endpoint;
  generation.dispatcher = held->second.dispatcher;
  generation.stage = GenerationStage::kConnecting;
  record_message_sent(state, generation.dispatcher);
  context.effects.emplace_back(
      SendProgress{generation.dispatcher,
                   {generation.queued_request, endpoint, 0, RunState::kGranted},
                   true});
  record_explanation(context, request, "granted", endpoint + " credit");
  observe(context, generation, MetricKind::kQueueTime, 0);
  connect_endpoint(context, request);
  return true;
}

void check_queued_deadline(const EntryContext& context, std::uint64_t request,
                           const Generation& generation) {
  if (context.state.now < generation.start_deadline) return;
  dequeue_generation(context, generation);
  finish_generation(context, request,
                    {request, RefusalKind::kDeadlineUnreachable,
                     ExecutionStatus::kNotExecuted, kSecond});
}

void check_connection(const EntryContext& context, std::uint64_t request,
                      Generation& generation) {
  const Millis now = context.state.now;
  if (generation.retry_at > 0) {
    if (now < generation.retry_at) return;
    generation.retry_at = 0;
    connect_endpoint(context, request);
    return;
  }
  const bool connecting = generation.stage == GenerationStage::kConnecting;
  const Millis timeout = connecting ? kConnectTimeout : kConnectionIdleTimeout;
  if (now - generation.last_activity_at < timeout) return;
  if (connecting && generation.generation_id.empty()) {
    retry_elsewhere(context, request, RunState::kLost, "no_answer");
    return;
  }
  reconnect(context, request, "silent_connection");
}

// Cancels the earlier request with the same idempotency key: a resent request
// replaces it.
void replace_by_idempotency_key(const EntryContext& context,
                                const GenerationRequested& event) {
  if (event.idempotency_key.empty()) return;
  const auto key = std::make_pair(event.caller, event.idempotency_key);
  const auto found = context.state.requests_by_idempotency_key.find(key);
  if (found == context.state.requests_by_idempotency_key.end()) return;
  const std::uint64_t earlier = found->second;
  Generation* generation = find_generation(context.state, earlier);
  if (generation == nullptr) return;
  dequeue_generation(context, *generation);
  finish_generation(
      context, earlier,
      {earlier, RefusalKind::kCancelled, ExecutionStatus::kNotExecuted, 0});
}

// Resumes the generation started by an earlier request with the same
// idempotency key, if there is one. Returns whether it did.
bool join_by_idempotency_key(const EntryContext& context,
                             const GenerationRequested& event) {
  if (event.idempotency_key.empty()) return false;
  const auto key = std::make_pair(event.caller, event.idempotency_key);
  const auto found = context.state.requests_by_idempotency_key.find(key);
  if (found == context.state.requests_by_idempotency_key.end()) return false;
  const Generation* running = find_generation(context.state, found->second);
  if (running == nullptr || running->generation_id.empty()) return false;
  const ResumeRequested resume{event.request,
                               event.caller,
                               event.rank,
                               event.service,
                               running->endpoint,
                               running->endpoint_incarnation,
                               running->generation_id,
                               -1};
  on_resume(context, resume);
  return true;
}

}  // namespace

void on_generation(const EntryContext& context,
                   const GenerationRequested& event) {
  EntryState& state = context.state;
  if (join_by_idempotency_key(context, event)) return;
  replace_by_idempotency_key(context, event);
  Generation generation;
  generation.queued_request.key = {state.self.vm, state.self.incarnation,
                                   event.request};
  generation.queued_request.model = event.model;
  generation.queued_request.caller = event.caller;
  generation.queued_request.rank = event.rank;
  generation.queued_request.prompt_tokens = event.prompt_tokens;
  generation.queued_request.queued_at = state.now;
  generation.queued_request.fingerprint = event.fingerprint;
  generation.queued_request.prefix_hashes = event.prefix_hashes;
  generation.service = event.service;
  generation.idempotency_key = event.idempotency_key;
  generation.arrived_at = state.now;
  generation.start_deadline =
      state.now + rank_policy(state, event.rank).start_deadline;
  state.generations.emplace(event.request, std::move(generation));
  if (!event.idempotency_key.empty()) {
    state.requests_by_idempotency_key[{event.caller, event.idempotency_key}] =
        event.request;
  }
  record_first_attempt(state.retry_budget);
  if (start_on_credit(context, event.request)) return;
  queue_generation(context, event.request);
}

void on_resume(const EntryContext& context, const ResumeRequested& event) {
  EntryState& state = context.state;
  Generation generation;
  generation.queued_request.key = {state.self.vm, state.self.incarnation,
                                   event.request};
  generation.queued_request.caller = event.caller;
  generation.queued_request.rank = event.rank;
  generation.service = event.service;
  generation.endpoint = event.endpoint;
  generation.endpoint_incarnation = event.endpoint_incarnation;
  generation.generation_id = event.generation_id;
  generation.next_sequence = event.starting_after + 1;
  generation.stage = GenerationStage::kStreaming;
  generation.arrived_at = state.now;
  generation.resumed = true;
  generation.token_delivered = true;
  generation.ran = ExecutionStatus::kPartlyExecuted;
  state.generations.emplace(event.request, std::move(generation));
  if (find_endpoint(state.view, event.endpoint) == nullptr) {
    finish_generation(context, event.request,
                      {event.request, RefusalKind::kEndpointLost,
                       ExecutionStatus::kPartlyExecuted, 0});
    return;
  }
  record_explanation(context, event.request, "resumed_by_caller",
                     event.endpoint);
  connect_endpoint(context, event.request);
}

void on_grant(const EntryContext& context, const GrantReceived& event) {
  EntryState& state = context.state;
  Generation* generation = find_generation(state, event.request);
  if (generation == nullptr) return;
  // Two dispatchers may grant the same request; only the first grant is used.
  if (generation->stage != GenerationStage::kQueued) return;
  const EndpointInfo* endpoint = find_endpoint(state.view, event.endpoint);
  generation->dispatcher = event.dispatcher;
  generation->endpoint = event.endpoint;
  const bool leaving = endpoint == nullptr || endpoint->leaving ||
                       is_drained(state.config, event.endpoint);
  if (leaving) {
    retry_elsewhere(context, event.request, RunState::kCancelled, "leaving");
    return;
  }
  record_explanation(context, event.request, "granted",
                     event.endpoint + " " + event.reason);
  observe(context, *generation, MetricKind::kQueueTime,
          static_cast<double>(state.now - generation->arrived_at));
  generation->stage = GenerationStage::kConnecting;
  connect_endpoint(context, event.request);
}

void on_credits(const EntryContext& context, const CreditsReceived& event) {
  EntryState& state = context.state;
  state.credits[event.cell] = {event.dispatcher, state.now + kCreditLifetime,
                               event.credits};
}

void on_refusal(const EntryContext& context, const RefusalReceived& event) {
  EntryState& state = context.state;
  Generation* generation = find_generation(state, event.request);
  if (generation == nullptr || generation->stage != GenerationStage::kQueued)
    return;
  if (generation->dispatcher != event.dispatcher) return;
  const bool may_try_other_cell =
      event.kind == RefusalKind::kQueueFull ||
      event.kind == RefusalKind::kDeadlineUnreachable ||
      event.kind == RefusalKind::kNoEndpoint;
  generation->tried_cells.insert(generation->queued_request.cell);
  const std::string other =
      may_try_other_cell ? choose_cell(state, *generation) : std::string();
  if (!other.empty() && state.now < generation->start_deadline) {
    generation->queued_request.cell = other;
    record_explanation(context, event.request, "moved_cell",
                       refusal_name(event.kind));
    queue_generation(context, event.request);
    return;
  }
  finish_generation(context, event.request,
                    {event.request, event.kind, ExecutionStatus::kNotExecuted,
                     event.retry_after});
}

void on_withdrawal(const EntryContext& context,
                   const WithdrawalReceived& event) {
  Generation* generation = find_generation(context.state, event.request);
  if (generation == nullptr || generation->token_delivered) return;
  if (generation->stage != GenerationStage::kConnecting &&
      generation->stage != GenerationStage::kStreaming) {
    return;
  }
  record_explanation(context, event.request, "withdrawn", generation->endpoint);
  cancel_running(context, *generation, false);
  report_progress(context, *generation, RunState::kCancelled);
  generation->next_sequence = 0;
  generation->produced_tokens = 0;
  generation->reported_tokens = 0;
  generation->retry_at = 0;
  queue_generation(context, event.request);
}

void on_endpoint_disconnected(const EntryContext& context,
                              const EndpointDisconnected& event) {
  Generation* generation = find_generation(context.state, event.request);
  if (generation == nullptr || generation->attempt != event.attempt) return;
  const bool not_started = event.reason == DisconnectReason::kDeclined ||
                           event.reason == DisconnectReason::kConnectFailed;
  if (not_started) generation->ran = generation->ran_before_attempt;
  switch (event.reason) {
    case DisconnectReason::kDeclined:
      if (!generation->resumed && !generation->token_delivered) {
        retry_elsewhere(context, event.request, RunState::kCancelled,
                        "declined");
        return;
      }
      reconnect(context, event.request, "declined");
      return;
    case DisconnectReason::kUnknownGeneration:
      handle_endpoint_loss(context, event.request, "gone");
      return;
    case DisconnectReason::kProtocolError:
      handle_endpoint_loss(context, event.request, "bad_answer");
      return;
    case DisconnectReason::kConnectFailed:
      if (generation->generation_id.empty()) {
        retry_elsewhere(context, event.request, RunState::kLost,
                        "connect_failed");
        return;
      }
      reconnect(context, event.request, "connect_failed");
      return;
    case DisconnectReason::kClosed:
      if (generation->generation_id.empty()) {
        handle_endpoint_loss(context, event.request, "closed");
        return;
      }
      reconnect(context, event.request, "closed");
      return;
  }
}

void on_caller_connection_ended(const EntryContext& context,
                                const CallerConnectionEnded& event) {
  Generation* generation = find_generation(context.state, event.request);
  if (generation == nullptr) return;
  if (!event.cancelled && generation->stage != GenerationStage::kQueued) {
    if (generation->resumed) {
      close_attempt(context, *generation);
      finish_generation(context, event.request,
                        {event.request, RefusalKind::kCancelled,
                         ExecutionStatus::kPartlyExecuted, 0});
      return;
    }
    generation->caller_disconnected_at = context.state.now;
    record_explanation(context, event.request, "caller_left");
    return;
  }
  dequeue_generation(context, *generation);
  if (generation->stage != GenerationStage::kQueued) {
    cancel_running(context, *generation, false);
    report_progress(context, *generation, RunState::kCancelled);
  }
  const ExecutionStatus ran = generation->token_delivered
                                  ? ExecutionStatus::kPartlyExecuted
                                  : ExecutionStatus::kNotExecuted;
  finish_generation(context, event.request,
                    {event.request, RefusalKind::kCancelled, ran, 0});
}

void advance_generations(const EntryContext& context) {
  EntryState& state = context.state;
  std::vector<std::uint64_t> requests;
  requests.reserve(state.generations.size());
  for (const auto& [request, generation] : state.generations) {
    requests.push_back(request);
  }
  for (const std::uint64_t request : requests) {
    Generation* generation = find_generation(state, request);
    if (generation == nullptr) continue;
    if (generation->caller_disconnected_at > 0 &&
        state.now - generation->caller_disconnected_at >
            kCallerReconnectTimeout) {
      cancel_running(context, *generation, true);
      report_progress(context, *generation, RunState::kCancelled);
      finish_generation(context, request,
                        {request, RefusalKind::kCancelled,
                         ExecutionStatus::kPartlyExecuted, 0});
      continue;
    }
    switch (generation->stage) {
      case GenerationStage::kQueued:
        check_queued_deadline(context, request, *generation);
        break;
      case GenerationStage::kAwaitingRetry:
        if (state.now < generation->retry_at) break;
        state.generations.at(request).retry_at = 0;
        queue_generation(context, request);
        break;
      case GenerationStage::kConnecting:
      case GenerationStage::kStreaming:
        check_connection(context, request, *generation);
        break;
    }
  }
}

}  // namespace peridotreach
