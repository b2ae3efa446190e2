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

// Time for an endpoint to answer a connection.
constexpr Millis kOpenTimeout = 4 * kSecond;

// Takes one credit for the request: at the endpoint that its prefix hashes to,
// so that equal prefixes meet one cache. Returns the endpoint, or nothing.
std::string take_credit(EntryState& state, HeldCredits& held,
                        const QueuedRequest& item) {
  const std::uint64_t seed =
      item.prefixes.empty() ? item.fingerprint : item.prefixes.front();
  Credit* best = nullptr;
  std::uint64_t best_score = 0;
  for (Credit& credit : held.credits) {
    if (credit.count == 0 || credit.model != item.model) continue;
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

// Starts the generation on a credit if there is one. Returns whether it did.
bool start_on_credit(const EntryContext& context, std::uint64_t request) {
  EntryState& state = context.state;
  Generation& generation = state.generations.at(request);
  generation.item.cell = choose_cell(state, generation);
  const auto held = state.credits.find(generation.item.cell);
  if (held == state.credits.end()) return false;
  if (state.now >= held->second.valid_until) return false;
  if (state.lost_fingerprints.contains(generation.item.fingerprint)) {
    return false;
  }
  const std::string endpoint =
      take_credit(state, held->second, generation.item);
  if (endpoint.empty()) return false;
  generation.endpoint = endpoint;
  generation.dispatcher = held->second.dispatcher;
  generation.stage = Stage::kConnecting;
  note_asked(state, generation.dispatcher);
  context.effects.emplace_back(
      SendProgress{generation.dispatcher,
                   {generation.item, endpoint, 0, RunState::kGranted},
                   true});
  explain(context, request, "granted", endpoint + " credit");
  observe(context, generation, Measure::kQueueTime, 0);
  open_endpoint(context, request);
  return true;
}

void tend_queued(const EntryContext& context, std::uint64_t request,
                 const Generation& generation) {
  if (context.state.now < generation.start_by) return;
  drop_queued(context, generation);
  finish(context, request,
         {request, RefusalKind::kDeadlineUnreachable, Ran::kNo, kSecond});
}

void tend_running(const EntryContext& context, std::uint64_t request,
                  Generation& generation) {
  const Millis now = context.state.now;
  if (generation.retry_at > 0) {
    if (now < generation.retry_at) return;
    generation.retry_at = 0;
    open_endpoint(context, request);
    return;
  }
  const bool connecting = generation.stage == Stage::kConnecting;
  const Millis bound = connecting ? kOpenTimeout : kConnectionSilence;
  if (now - generation.activity_at < bound) return;
  if (connecting && generation.generation.empty()) {
    retry_elsewhere(context, request, RunState::kLost, "no_answer");
    return;
  }
  reconnect(context, request, "silent_connection");
}

// A resent request takes the place of the one that its key names.
void replace_keyed(const EntryContext& context,
                   const GenerationRequested& event) {
  if (event.idempotency_key.empty()) return;
  const auto key = std::make_pair(event.caller, event.idempotency_key);
  const auto found = context.state.by_key.find(key);
  if (found == context.state.by_key.end()) return;
  const std::uint64_t earlier = found->second;
  Generation* generation = find_generation(context.state, earlier);
  if (generation == nullptr) return;
  drop_queued(context, *generation);
  finish(context, earlier, {earlier, RefusalKind::kCancelled, Ran::kNo, 0});
}

// Returns whether `event` joins a generation that its key names and that has
// started.
bool join_keyed(const EntryContext& context, const GenerationRequested& event) {
  if (event.idempotency_key.empty()) return false;
  const auto key = std::make_pair(event.caller, event.idempotency_key);
  const auto found = context.state.by_key.find(key);
  if (found == context.state.by_key.end()) return false;
  const Generation* running = find_generation(context.state, found->second);
  if (running == nullptr || running->generation.empty()) return false;
  const ResumeRequested resume{
      event.request,       event.caller,
      event.rank,          event.service,
      running->endpoint,   running->endpoint_incarnation,
      running->generation, -1};
  on_resume(context, resume);
  return true;
}

}  // namespace

void on_generation(const EntryContext& context,
                   const GenerationRequested& event) {
  EntryState& state = context.state;
  if (join_keyed(context, event)) return;
  replace_keyed(context, event);
  Generation generation;
  generation.item.key = {state.self.vm, state.self.incarnation, event.request};
  generation.item.model = event.model;
  generation.item.caller = event.caller;
  generation.item.rank = event.rank;
  generation.item.prompt_tokens = event.prompt_tokens;
  generation.item.queued_at = state.now;
  generation.item.fingerprint = event.fingerprint;
  generation.item.prefixes = event.prefixes;
  generation.service = event.service;
  generation.idempotency_key = event.idempotency_key;
  generation.arrived_at = state.now;
  generation.start_by = state.now + rank_of(state, event.rank).start_deadline;
  state.generations.emplace(event.request, std::move(generation));
  if (!event.idempotency_key.empty()) {
    state.by_key[{event.caller, event.idempotency_key}] = event.request;
  }
  note_first_attempt(state.retries);
  if (start_on_credit(context, event.request)) return;
  queue_generation(context, event.request);
}

void on_resume(const EntryContext& context, const ResumeRequested& event) {
  EntryState& state = context.state;
  Generation generation;
  generation.item.key = {state.self.vm, state.self.incarnation, event.request};
  generation.item.caller = event.caller;
  generation.item.rank = event.rank;
  generation.service = event.service;
  generation.endpoint = event.endpoint;
  generation.endpoint_incarnation = event.endpoint_incarnation;
  generation.generation = event.generation;
  generation.next_sequence = event.starting_after + 1;
  generation.stage = Stage::kStreaming;
  generation.arrived_at = state.now;
  generation.resumed = true;
  generation.delivered = true;
  generation.exposure = Ran::kPartly;
  state.generations.emplace(event.request, std::move(generation));
  if (find_endpoint(state.view, event.endpoint) == nullptr) {
    finish(context, event.request,
           {event.request, RefusalKind::kEndpointLost, Ran::kPartly, 0});
    return;
  }
  explain(context, event.request, "resumed_by_caller", event.endpoint);
  open_endpoint(context, event.request);
}

void on_grant(const EntryContext& context, const GrantArrived& event) {
  EntryState& state = context.state;
  Generation* generation = find_generation(state, event.request);
  if (generation == nullptr) return;
  // Two dispatchers may grant the same request; the first grant counts.
  if (generation->stage != Stage::kQueued) return;
  const EndpointInfo* endpoint = find_endpoint(state.view, event.endpoint);
  generation->dispatcher = event.dispatcher;
  generation->endpoint = event.endpoint;
  const bool leaving = endpoint == nullptr || endpoint->leaving ||
                       is_drained(state.config, event.endpoint);
  if (leaving) {
    retry_elsewhere(context, event.request, RunState::kCancelled, "leaving");
    return;
  }
  explain(context, event.request, "granted",
          event.endpoint + " " + event.reason);
  observe(context, *generation, Measure::kQueueTime,
          static_cast<double>(state.now - generation->arrived_at));
  generation->stage = Stage::kConnecting;
  open_endpoint(context, event.request);
}

void on_credits(const EntryContext& context, const CreditsArrived& event) {
  EntryState& state = context.state;
  state.credits[event.cell] = {event.dispatcher, state.now + kCreditLife,
                               event.credits};
}

void on_refusal(const EntryContext& context, const RefusalArrived& event) {
  EntryState& state = context.state;
  Generation* generation = find_generation(state, event.request);
  if (generation == nullptr || generation->stage != Stage::kQueued) return;
  if (generation->dispatcher != event.dispatcher) return;
  const bool may_move = event.kind == RefusalKind::kQueueFull ||
                        event.kind == RefusalKind::kDeadlineUnreachable ||
                        event.kind == RefusalKind::kNoEndpoint;
  generation->tried_cells.insert(generation->item.cell);
  const std::string other =
      may_move ? choose_cell(state, *generation) : std::string();
  if (!other.empty() && state.now < generation->start_by) {
    generation->item.cell = other;
    explain(context, event.request, "moved_cell", refusal_name(event.kind));
    queue_generation(context, event.request);
    return;
  }
  finish(context, event.request,
         {event.request, event.kind, Ran::kNo, event.retry_after});
}

void on_withdrawal(const EntryContext& context,
                   const WithdrawalArrived& event) {
  Generation* generation = find_generation(context.state, event.request);
  if (generation == nullptr || generation->delivered) return;
  if (generation->stage != Stage::kConnecting &&
      generation->stage != Stage::kStreaming) {
    return;
  }
  explain(context, event.request, "withdrawn", generation->endpoint);
  cancel_running(context, *generation, false);
  report(context, *generation, RunState::kCancelled);
  generation->next_sequence = 0;
  generation->produced = 0;
  generation->reported = 0;
  generation->retry_at = 0;
  queue_generation(context, event.request);
}

void on_closed(const EntryContext& context, const EndpointClosed& event) {
  Generation* generation = find_generation(context.state, event.request);
  if (generation == nullptr || generation->attempt != event.attempt) return;
  const bool not_started =
      event.kind == EndKind::kDeclined || event.kind == EndKind::kConnectFailed;
  if (not_started) generation->exposure = generation->exposure_before;
  switch (event.kind) {
    case EndKind::kDeclined:
      if (!generation->resumed && !generation->delivered) {
        retry_elsewhere(context, event.request, RunState::kCancelled,
                        "declined");
        return;
      }
      reconnect(context, event.request, "declined");
      return;
    case EndKind::kGone:
      lose_endpoint(context, event.request, "gone");
      return;
    case EndKind::kBadAnswer:
      lose_endpoint(context, event.request, "bad_answer");
      return;
    case EndKind::kConnectFailed:
      if (generation->generation.empty()) {
        retry_elsewhere(context, event.request, RunState::kLost,
                        "connect_failed");
        return;
      }
      reconnect(context, event.request, "connect_failed");
      return;
    case EndKind::kClosed:
      if (generation->generation.empty()) {
        lose_endpoint(context, event.request, "closed");
        return;
      }
      reconnect(context, event.request, "closed");
      return;
  }
}

void on_caller_left(const EntryContext& context, const CallerLeft& event) {
  Generation* generation = find_generation(context.state, event.request);
  if (generation == nullptr) return;
  if (!event.cancelled && generation->stage != Stage::kQueued) {
    if (generation->resumed) {
      close_attempt(context, *generation);
      finish(context, event.request,
             {event.request, RefusalKind::kCancelled, Ran::kPartly, 0});
      return;
    }
    generation->caller_left_at = context.state.now;
    explain(context, event.request, "caller_left");
    return;
  }
  drop_queued(context, *generation);
  if (generation->stage != Stage::kQueued) {
    cancel_running(context, *generation, false);
    report(context, *generation, RunState::kCancelled);
  }
  const Ran ran = generation->delivered ? Ran::kPartly : Ran::kNo;
  finish(context, event.request,
         {event.request, RefusalKind::kCancelled, ran, 0});
}

void tend_generations(const EntryContext& context) {
  EntryState& state = context.state;
  std::vector<std::uint64_t> requests;
  requests.reserve(state.generations.size());
  for (const auto& [request, generation] : state.generations) {
    requests.push_back(request);
  }
  for (const std::uint64_t request : requests) {
    Generation* generation = find_generation(state, request);
    if (generation == nullptr) continue;
    if (generation->caller_left_at > 0 &&
        state.now - generation->caller_left_at > kCallerAbsence) {
      cancel_running(context, *generation, true);
      report(context, *generation, RunState::kCancelled);
      finish(context, request,
             {request, RefusalKind::kCancelled, Ran::kPartly, 0});
      continue;
    }
    switch (generation->stage) {
      case Stage::kQueued:
        tend_queued(context, request, *generation);
        break;
      case Stage::kWaiting:
        if (state.now < generation->retry_at) break;
        state.generations.at(request).retry_at = 0;
        queue_generation(context, request);
        break;
      case Stage::kConnecting:
      case Stage::kStreaming:
        tend_running(context, request, *generation);
        break;
    }
  }
}

}  // namespace peridotreach
