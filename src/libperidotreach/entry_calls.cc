#include "libperidotreach/entry_calls.h"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace peridotreach {
namespace {

// Claimed calls whose outcomes are kept in memory.
constexpr std::size_t kMaxClaimedCalls = 4096;

// Retry-after for a call that arrives during a hand-over or while the same call
// is in progress.
constexpr Millis kTransientRetryAfter = 200;

using ClaimId = std::pair<std::string, std::string>;

CallOutcome refusal_outcome(RefusalKind kind, ExecutionStatus ran) {
  CallOutcome outcome;
  outcome.ran = ran;
  outcome.kind = kind;
  outcome.status = refusal_http_status(kind);
  return outcome;
}

// Returns the status of a call that this attempt did not run and of which this
// process has no record: an earlier attempt may have run it elsewhere.
ExecutionStatus status_without_record(const Call& call) {
  return call.first_attempt || call.repeatable ? ExecutionStatus::kNotExecuted
                                               : ExecutionStatus::kUnknown;
}

// Answers the call of `request` and removes it.
void answer(const EntryContext& context, std::uint64_t request,
            const CallOutcome& outcome, Millis retry_after = 0) {
  const auto found = context.state.calls.find(request);
  if (found == context.state.calls.end()) return;
  const Call& call = found->second;
  if (outcome.kind != RefusalKind::kNone) {
    count_refusal(context,
                  {call.caller, call.rank, call.service, outcome.kind});
  }
  record_explanation(context, request, "answered",
                     std::string(refusal_name(outcome.kind)) + " ran " +
                         execution_status_name(outcome.ran));
  context.effects.emplace_back(AnswerCall{request, outcome, retry_after});
  context.state.calls.erase(found);
}

std::size_t running_calls(const EntryState& state,
                          const std::string& endpoint) {
  return static_cast<std::size_t>(std::count_if(
      state.calls.begin(), state.calls.end(),
      [&](const auto& entry) { return entry.second.endpoint == endpoint; }));
}

// Returns the untried endpoint that runs the fewest calls of this process, an
// endpoint of this zone among equals; empty if none is left. Starts at a
// different endpoint each time, so that equal ones are used
// alternately.
std::string choose_endpoint(EntryState& state, const Call& call) {
  std::string best;
  double best_cost = std::numeric_limits<double>::max();
  state.round_robin_index += 1;
  const std::size_t count =
      std::max<std::size_t>(1, state.view.endpoints.size());
  for (std::size_t i = 0; i < state.view.endpoints.size(); ++i) {
    const std::size_t index = (i + state.round_robin_index) % count;
    const EndpointInfo& endpoint = state.view.endpoints[index];
    if (endpoint.service != call.service || endpoint.leaving) continue;
    if (call.tried_endpoints.contains(endpoint.id)) continue;
    if (is_drained(state.config, endpoint.id)) continue;
    // Less than one call, so that the zone decides only between equals.
    constexpr double kOtherZoneCost = 0.5;
    const bool other_zone = endpoint.zone != state.self.zone;
    const double cost = static_cast<double>(running_calls(state, endpoint.id)) +
                        (other_zone ? kOtherZoneCost : 0);
    if (cost >= best_cost) continue;
    best = endpoint.id;
    best_cost = cost;
  }
  return best;
}

// Records the outcome under the call's number or key: a resend of a call that
// did not run may run, any other resend gets this outcome.
void record_outcome(const EntryContext& context, const Call& call,
                    const CallOutcome& outcome) {
  EntryState& state = context.state;
  if (call.session != 0) {
    const auto table = state.sessions.find(call.home);
    if (table != state.sessions.end()) {
      end_call(table->second, call.session, call.call_number, outcome);
    }
  }
  if (call.claim_key.empty()) return;
  const ClaimId claim{call.caller, call.claim_key};
  if (outcome.ran == ExecutionStatus::kNotExecuted) {
    state.claimed_calls.erase(claim);
    return;
  }
  state.claimed_calls[claim] = {true, outcome};
}

void forward(const EntryContext& context, std::uint64_t request) {
  Call& call = context.state.calls.at(request);
  call.endpoint = choose_endpoint(context.state, call);
  if (call.endpoint.empty()) {
    const CallOutcome outcome = refusal_outcome(RefusalKind::kNoEndpoint,
                                                ExecutionStatus::kNotExecuted);
    record_outcome(context, call, outcome);
    answer(context, request, outcome, kSecond);
    return;
  }
  const ServicePolicy* service =
      find_service(context.state.config, call.service);
  const Millis timeout =
      service == nullptr ? 30 * kSecond : service->request_timeout;
  record_explanation(context, request, "forwarded", call.endpoint);
  context.effects.emplace_back(ForwardCall{request, call.endpoint, timeout});
}

// Executes, replays or refuses a call of a session that this process holds.
void run_in_session(const EntryContext& context, std::uint64_t request) {
  EntryState& state = context.state;
  const Call& call = state.calls.at(request);
  const CallDecision verdict =
      begin_call(state.sessions.at(call.home), call.session, call.caller,
                 call.call_number, state.now);
  switch (verdict.action) {
    case CallAction::kExecute:
      forward(context, request);
      return;
    case CallAction::kReplay:
      record_explanation(context, request, "replayed");
      answer(context, request, verdict.outcome);
      return;
    case CallAction::kInProgress:
      answer(context, request,
             refusal_outcome(RefusalKind::kTimedOut, ExecutionStatus::kUnknown),
             kTransientRetryAfter);
      return;
    case CallAction::kSessionEnded:
    case CallAction::kOutcomeEvicted:
      answer(context, request,
             refusal_outcome(RefusalKind::kSessionEnded,
                             ExecutionStatus::kUnknown));
      return;
  }
}

// Forwards a call to the VM that holds its session, or refuses it if no VM
// does.
void forward_to_holder(const EntryContext& context, std::uint64_t request) {
  EntryState& state = context.state;
  Call& call = state.calls.at(request);
  std::string holder =
      successor_of(state.view, call.home.first, call.home.second);
  if (holder.empty()) {
    const VmInfo* home = find_vm(state.view, call.home.first);
    if (home != nullptr && home->incarnation == call.home.second) {
      holder = home->vm;
    }
  }
  if (holder == state.self.vm) {
    // According to the store this process is the successor, but the sessions
    // have not arrived yet.
    answer(context, request,
           refusal_outcome(RefusalKind::kStopping, status_without_record(call)),
           kTransientRetryAfter);
    return;
  }
  if (!holder.empty()) {
    call.forwarded_to_home = true;
    record_explanation(context, request, "sent_home", holder);
    context.effects.emplace_back(ForwardToHome{request, holder});
    return;
  }
  // The home no longer runs. Whether an earlier attempt ran is unknown.
  answer(
      context, request,
      refusal_outcome(RefusalKind::kSessionEnded, status_without_record(call)));
}

void start_in_session(const EntryContext& context, const CallRequested& event) {
  EntryState& state = context.state;
  const Call& call = state.calls.at(event.request);
  if (!state.sessions.contains(call.home)) {
    forward_to_holder(context, event.request);
    return;
  }
  const bool handing_over = state.stop_stage == StopStage::kHandingOver &&
                            state.homes_to_hand_over.contains(call.home);
  if (handing_over) {
    answer(context, event.request,
           refusal_outcome(RefusalKind::kStopping, status_without_record(call)),
           kTransientRetryAfter);
    return;
  }
  run_in_session(context, event.request);
}

void evict_finished_claims(EntryState& state) {
  while (state.claimed_calls.size() > kMaxClaimedCalls) {
    const auto done =
        std::find_if(state.claimed_calls.begin(), state.claimed_calls.end(),
                     [](const auto& entry) { return entry.second.done; });
    if (done == state.claimed_calls.end()) return;
    state.claimed_calls.erase(done);
    state.evicted_claims = true;
  }
}

}  // namespace

void on_call(const EntryContext& context, const CallRequested& event) {
  EntryState& state = context.state;
  Call call;
  call.caller = event.caller;
  call.rank = event.rank;
  call.service = event.service;
  call.repeatable = event.repeatable;
  call.first_attempt = event.first_attempt;
  if (!event.repeatable) {
    call.session = event.session;
    call.call_number = event.call_number;
    call.home = {event.home, event.home_incarnation};
    if (event.session == 0) call.claim_key = event.idempotency_key;
  }
  state.calls.emplace(event.request, std::move(call));
  const Call& stored = state.calls.at(event.request);
  if (stored.session != 0) {
    start_in_session(context, event);
    return;
  }
  if (!stored.claim_key.empty()) {
    context.effects.emplace_back(
        ClaimKey{event.request, event.caller, stored.claim_key});
    return;
  }
  forward(context, event.request);
}

void on_claim(const EntryContext& context, const ClaimAnswered& event) {
  EntryState& state = context.state;
  const auto found = state.calls.find(event.request);
  if (found == state.calls.end()) return;
  const ClaimId claim{found->second.caller, found->second.claim_key};
  const auto record = state.claimed_calls.find(claim);
  const bool known = record != state.claimed_calls.end();
  if (!known && event.result == ClaimResult::kUnavailable) {
    answer(context, event.request,
           refusal_outcome(RefusalKind::kStoreUnavailable,
                           status_without_record(found->second)),
           kSecond);
    return;
  }
  if (known && record->second.done) {
    record_explanation(context, event.request, "replayed");
    answer(context, event.request, record->second.outcome);
    return;
  }
  if (known) {
    answer(context, event.request,
           refusal_outcome(RefusalKind::kTimedOut, ExecutionStatus::kUnknown),
           kTransientRetryAfter);
    return;
  }
  // A call claimed by this incarnation but without a record was never executed:
  // the answer to the first claim was lost. Once records have been evicted that
  // is no longer certain.
  const bool never_ran = event.owned_here && !state.evicted_claims;
  const bool owned = event.result == ClaimResult::kClaimed || never_ran;
  if (!owned) {
    answer(
        context, event.request,
        refusal_outcome(RefusalKind::kSessionEnded, ExecutionStatus::kUnknown));
    return;
  }
  state.claimed_calls[claim] = {};
  evict_finished_claims(state);
  forward(context, event.request);
}

void on_call_ended(const EntryContext& context, const CallEnded& event) {
  EntryState& state = context.state;
  const auto found = state.calls.find(event.request);
  if (found == state.calls.end()) return;
  Call& call = found->second;
  if (call.forwarded_to_home) {
    CallOutcome outcome = event.outcome;
    // The status that the home reports is final. Without an answer from it an
    // earlier attempt may have run.
    const bool unreachable =
        !event.answered && outcome.ran == ExecutionStatus::kNotExecuted;
    if (unreachable) outcome.ran = status_without_record(call);
    answer(context, event.request, outcome,
           event.answered ? event.retry_after : kSecond);
    return;
  }
  if (event.answered) {
    record_outcome(context, call, event.outcome);
    answer(context, event.request, event.outcome);
    return;
  }
  call.tried_endpoints.insert(call.endpoint);
  const bool may_retry = !event.sent || call.repeatable;
  if (may_retry && try_take_retry(state.retry_budget)) {
    record_explanation(context, event.request, "retry", call.endpoint);
    forward(context, event.request);
    return;
  }
  const ExecutionStatus ran =
      event.sent ? ExecutionStatus::kUnknown : ExecutionStatus::kNotExecuted;
  const RefusalKind kind =
      event.sent ? RefusalKind::kTimedOut : RefusalKind::kNoEndpoint;
  const CallOutcome outcome = refusal_outcome(kind, ran);
  record_outcome(context, call, outcome);
  answer(context, event.request, outcome, kSecond);
}

void on_session_requested(const EntryContext& context,
                          const SessionRequested& event) {
  EntryState& state = context.state;
  std::uint64_t session = 0;
  // A stopping process opens no sessions; the caller gets only addresses.
  if (state.stop_stage == StopStage::kServing) {
    session =
        open_session(state.sessions[own_home(state)], event.caller, state.now);
  }
  context.effects.emplace_back(ReturnSession{event.request, session});
}

bool has_running_call(const EntryState& state, const HomeKey& home) {
  return std::any_of(state.calls.begin(), state.calls.end(),
                     [&](const auto& entry) {
                       const Call& call = entry.second;
                       return call.session != 0 && call.home == home &&
                              !call.forwarded_to_home;
                     });
}

}  // namespace peridotreach
