// Requests from arrival to outcome: matching, placement, retries, time-outs.

#include <algorithm>

#include "libperidotreach/routing/endpoint_choice.h"
#include "libperidotreach/routing/output_length.h"
#include "libperidotreach/routing/routing_steps.h"

namespace peridotreach {
namespace {

// Deaths of endpoints with a request in flight after which it is refused. Two
// may be chance where several endpoints fail together.
constexpr std::uint32_t kCrashingDeaths = 3;

// When a caller that was refused for want of an endpoint may come back, with
// a random part that spreads them.
constexpr Millis kRetryAfter = 250;
constexpr Millis kRetryAfterSpread = 250;

// Connections that may fail before a request is given up.
constexpr std::uint32_t kMostConnectFailures = 4;

// Time left below which a further attempt is not worth sending.
constexpr Millis kLeastTimeLeft = 30;

// Urgency ranges from 0 to 9 at the endpoint.
constexpr std::uint32_t kLeastUrgent = 9;

Millis spread_retry_after(const RoutingState& state) {
  return kRetryAfter + static_cast<Millis>(state.random % kRetryAfterSpread);
}

std::uint32_t deaths_of_request(const RoutingState& state,
                                std::uint64_t fingerprint) {
  std::uint32_t deaths = deaths_of(state.suspects, fingerprint, state.now);
  for (const auto& [peer, told] : state.peers) {
    const auto found = told.suspects.find(fingerprint);
    if (found != told.suspects.end()) deaths += found->second;
  }
  return deaths;
}

bool is_overdue(const RoutingState& state, const RequestState& request) {
  return request.deadline - state.now < kLeastTimeLeft;
}

// Sends the request to the best endpoint, or refuses it truthfully: no byte of
// it may have reached an endpoint that did not say that it did not run it.
void place(const RoutingContext& context, std::uint64_t key,
           RequestState& request, const std::string& except) {
  EndpointNeed need;
  need.service = request.service;
  need.tokens = request.projected_tokens;
  need.except.insert(except);
  if (seek_room(context, key, request)) return;
  const std::string chosen = choose_endpoint(context.state, need);
  request.waits_until = 0;
  if (chosen.empty()) {
    refuse(context, key, 503, spread_retry_after(context.state), "no_endpoint");
    return;
  }
  start_attempt(context, key, request, chosen, {});
}

bool may_try_again(const RoutingContext& context, const RequestState& request) {
  return request.route.kind == CallKind::kIdempotent &&
         request.sent < request.route.attempts &&
         !is_overdue(context.state, request) &&
         may_repeat(context, request.service, context.state.peers.size() + 1);
}

// A request that ran partly, or may have.
void on_broken(const RoutingContext& context, std::uint64_t key,
               RequestState& request) {
  note_death(context.state.suspects, request.facts.fingerprint,
             context.state.now);
  if (request.relaying) {
    record(
        context, "outcome", key,
        {{"status", "broken_off"}, {"cause", "endpoint's stream broke off"}});
    context.effects.push_back(BreakOff{key, "endpoint_stream_broken"});
    forget(context, key);
    return;
  }
  if (may_try_again(context, request)) {
    place(context, key, request, request.endpoint);
    return;
  }
  refuse(context, key, 502, -1, "endpoint_answer_broken");
}

void on_unreachable(const RoutingContext& context, std::uint64_t key,
                    RequestState& request) {
  EndpointState* endpoint = find_endpoint(context, request.endpoint);
  if (endpoint != nullptr) {
    note_unreachable(*endpoint, context.state.now);
    record(context, "endpoint_ejected", key,
           {{"endpoint", request.endpoint},
            {"cause", "connection failed"},
            {"until_ms", std::to_string(endpoint->ejected_until)}});
  }
  if (request.relaying) {
    if (!go_back(context, key, request)) on_broken(context, key, request);
    return;
  }
  request.sent -= 1;
  request.connect_failures += 1;
  if (request.connect_failures >= kMostConnectFailures ||
      is_overdue(context.state, request)) {
    refuse(context, key, 503, spread_retry_after(context.state),
           "endpoints_unreachable");
    return;
  }
  place(context, key, request, request.endpoint);
}

FirstByte first_byte_of(const RoutingContext& context,
                        const RequestState& request) {
  return {request.route.kind, request.account,
          context.state.now - request.arrived};
}

void deliver(const RoutingContext& context, std::uint64_t key,
             const RequestState& request, unsigned status) {
  record(context, "outcome", key,
         {{"status", std::to_string(status)},
          {"endpoint", request.endpoint},
          {"ms", std::to_string(context.state.now - request.arrived)}});
  note_finished(context.state.suspects, request.facts.fingerprint);
  context.effects.push_back(
      DeliverAnswer{key, request.attempt, first_byte_of(context, request)});
  forget(context, key);
}

constexpr unsigned kFirstServerError = 500;

void on_whole_answer(const RoutingContext& context, std::uint64_t key,
                     RequestState& request, unsigned status) {
  const bool failed = status >= kFirstServerError;
  if (failed && may_try_again(context, request)) {
    place(context, key, request, request.endpoint);
    return;
  }
  deliver(context, key, request, status);
}

void on_not_run(const RoutingContext& context, std::uint64_t key,
                RequestState& request) {
  if (request.relaying) {
    if (!go_back(context, key, request)) on_broken(context, key, request);
    return;
  }
  if (may_try_again(context, request)) {
    place(context, key, request, request.endpoint);
    return;
  }
  refuse(context, key, 503, spread_retry_after(context.state),
         "endpoint_refused");
}

void note_end(const RoutingContext& context, const RequestState& request,
              const AttemptEnded& event) {
  EndpointState* endpoint = find_endpoint(context, request.endpoint);
  if (endpoint == nullptr || event.end == AttemptEnd::kNotSent) return;
  if (event.end == AttemptEnd::kMisdirected) {
    endpoint->listed = false;
    endpoint->leaving_since = context.state.now;
    return;
  }
  const bool failed =
      event.end == AttemptEnd::kBroken || event.status >= kFirstServerError;
  note_answer(*endpoint, failed, context.state.now);
  if (event.end == AttemptEnd::kBroken && event.status == 0) {
    note_break(*endpoint, context.state.now);
  }
}

}  // namespace

void book_copy(const RoutingContext& context, const std::string& endpoint,
               std::uint64_t tokens) {
  EndpointState* state = find_endpoint(context, endpoint);
  if (state == nullptr) return;
  state->own.tokens += tokens;
  state->own.copies += 1;
}

void unbook_copy(const RoutingContext& context, const std::string& endpoint,
                 std::uint64_t tokens) {
  EndpointState* state = find_endpoint(context, endpoint);
  if (state == nullptr) return;
  state->own.tokens -= std::min(state->own.tokens, tokens);
  state->own.copies -= std::min<std::uint32_t>(state->own.copies, 1);
}

void book(const RoutingContext& context, RequestState& request,
          const std::string& endpoint) {
  if (EndpointState* before = find_endpoint(context, request.endpoint)) {
    before->own.running -= std::min<std::uint32_t>(before->own.running, 1);
    before->own.tokens -=
        std::min(before->own.tokens, request.projected_tokens);
    before->own.unread_tokens -= std::min<std::uint64_t>(
        before->own.unread_tokens, request.unread_tokens);
  }
  request.endpoint = endpoint;
  const bool reads =
      request.route.kind == CallKind::kStream && !request.relaying;
  request.unread_tokens = reads ? request.facts.prompt_tokens : 0;
  if (EndpointState* after = find_endpoint(context, endpoint)) {
    after->own.running += 1;
    after->own.tokens += request.projected_tokens;
    after->own.unread_tokens += request.unread_tokens;
  }
}

void refuse(const RoutingContext& context, std::uint64_t key, unsigned status,
            Millis retry_after, const std::string& reason) {
  std::vector<DecisionField> fields = {{"status", std::to_string(status)},
                                       {"reason", reason}};
  if (const RequestState* request = find_request(context, key)) {
    fields.push_back({"endpoint", request->endpoint});
    fields.push_back({"attempts", std::to_string(request->attempt)});
    fields.push_back(
        {"ms", std::to_string(context.state.now - request->arrived)});
  }
  record(context, "outcome", key, std::move(fields));
  context.effects.push_back(AnswerCaller{key, status, retry_after, reason});
  forget(context, key);
}

void forget(const RoutingContext& context, std::uint64_t key) {
  RequestState* request = find_request(context, key);
  if (request == nullptr) return;
  clear_move(context, key, *request);
  book(context, *request, "");
  context.state.requests.erase(key);
}

double produced_tokens(const RoutingState& state, const RequestState& request) {
  const EngineShape* engine = engine_of(state, request.service);
  const std::uint32_t per_event =
      engine != nullptr ? engine->tokens_per_event : 1;
  return static_cast<double>(request.events) * per_event;
}

bool may_repeat(const RoutingContext& context, const std::string& service,
                std::size_t sharers) {
  RoutingState& state = context.state;
  PeerRepeats peers;
  peers.sharers = sharers;
  for (const auto& [peer, told] : state.peer_repeats) {
    const auto found = told.services.find(service);
    if (found == told.services.end()) continue;
    peers.counts.requests += found->second.requests;
    peers.counts.repeats += found->second.repeats;
  }
  return take_repeat(state.budgets[service], state.self.retries, peers,
                     state.now);
}

void start_attempt(const RoutingContext& context, std::uint64_t key,
                   RequestState& request, const std::string& endpoint,
                   MemorySource source) {
  RoutingState& state = context.state;
  book(context, request, endpoint);
  request.attempt += 1;
  request.sent += 1;
  const EndpointState& target = state.endpoints.at(endpoint);
  StartAttempt attempt;
  attempt.request = key;
  attempt.attempt = request.attempt;
  attempt.endpoint = endpoint;
  attempt.address = target.entry.address;
  attempt.port = target.entry.port;
  attempt.account = request.account;
  attempt.time_left = request.deadline - state.now;
  attempt.urgency = std::min(request.rank, kLeastUrgent);
  attempt.is_stream = request.route.kind == CallKind::kStream;
  attempt.source = std::move(source);
  record(context, "placed", key,
         {{"id", request.facts.id},
          {"route", request.route.name},
          {"endpoint", endpoint},
          {"attempt", std::to_string(request.attempt)},
          {"manifest", std::to_string(state.manifest->version)},
          {"tokens", std::to_string(request.projected_tokens)},
          {"prompt", std::to_string(request.facts.prompt_tokens)},
          {"endpoint_tokens",
           std::to_string(target.own.tokens + target.peers.tokens)},
          {"endpoint_running",
           std::to_string(target.own.running + target.peers.running)},
          {"time_left_ms", std::to_string(attempt.time_left)}});
  context.effects.push_back(std::move(attempt));
}

void on_request(const RoutingContext& context, const RequestArrived& event) {
  RoutingState& state = context.state;
  const CallerRequest& facts = event.facts;
  const auto answer = [&](unsigned status, Millis retry_after,
                          const char* reason) {
    record(context, "outcome", event.request,
           {{"id", facts.id},
            {"status", std::to_string(status)},
            {"reason", reason}});
    context.effects.push_back(
        AnswerCaller{event.request, status, retry_after, reason});
  };
  if (!state.manifest) {
    answer(503, spread_retry_after(state), "no_manifest");
    return;
  }
  const Route* route = match_route(*state.manifest, facts.host, facts.path);
  if (route == nullptr) {
    answer(404, -1, "no_route");
    return;
  }
  const Account* account = account_of(*state.manifest, facts.key);
  const bool let_in =
      route->open_to_all || !state.manifest->has_accounts || account != nullptr;
  if (!let_in) {
    answer(401, -1, "unknown_key");
    return;
  }
  if (deaths_of_request(state, facts.fingerprint) >= kCrashingDeaths) {
    answer(503, -1, "crashes_endpoints");
    return;
  }
  RequestState request;
  request.facts = facts;
  request.route = *route;
  request.service = pick_service(*route, state.random);
  if (account != nullptr) request.account = account->name;
  request.rank =
      account != nullptr ? account->rank.value_or(route->rank) : route->rank;
  request.arrived = state.now;
  const Millis patience = facts.patience > 0 ? facts.patience : route->timeout;
  request.deadline = state.now + std::min(patience, route->timeout);
  if (route->kind == CallKind::kStream) {
    request.projected_tokens =
        facts.prompt_tokens +
        static_cast<std::uint64_t>(expected_output(state, request));
  }
  note_request(state.budgets[request.service], state.self.retries, state.now);
  RequestState& kept =
      state.requests.emplace(event.request, std::move(request)).first->second;
  place(context, event.request, kept, "");
}

void on_caller_left(const RoutingContext& context,
                    const CallerDisconnected& event) {
  const RequestState* request = find_request(context, event.request);
  if (request == nullptr) return;
  record(context, "outcome", event.request,
         {{"id", request->facts.id},
          {"status", "caller_left"},
          {"ms", std::to_string(context.state.now - request->arrived)}});
  context.effects.push_back(DropAttempt{event.request, request->attempt});
  forget(context, event.request);
}

void on_attempt_ended(const RoutingContext& context,
                      const AttemptEnded& event) {
  RequestState* request = find_request(context, event.request);
  if (request == nullptr) return;
  if (on_source_ended(context, event.request, *request, event)) return;
  if (event.attempt != request->attempt) return;
  note_end(context, *request, event);
  switch (event.end) {
    case AttemptEnd::kNotSent:
      on_unreachable(context, event.request, *request);
      return;
    case AttemptEnd::kNotRun:
    case AttemptEnd::kMisdirected:
      on_not_run(context, event.request, *request);
      return;
    case AttemptEnd::kWhole:
      if (request->relaying) {
        on_broken(context, event.request, *request);
        return;
      }
      on_whole_answer(context, event.request, *request, event.status);
      return;
    case AttemptEnd::kStreamEnded:
      record(context, "outcome", event.request,
             {{"status", "complete"},
              {"endpoint", request->endpoint},
              {"route", request->route.name},
              {"events", std::to_string(request->events)},
              {"first_event_ms",
               std::to_string(request->first_event_at - request->arrived)},
              {"longest_pause_ms", std::to_string(request->longest_pause)},
              {"moves", std::to_string(request->moves)},
              {"ms", std::to_string(context.state.now - request->arrived)}});
      note_finished(context.state.suspects, request->facts.fingerprint);
      learn_length(context.state, *request,
                   produced_tokens(context.state, *request));
      context.effects.push_back(FinishStream{event.request});
      forget(context, event.request);
      return;
    case AttemptEnd::kBroken:
      on_broken(context, event.request, *request);
      return;
  }
}

namespace {

// The first event shows that the endpoint has read the prompt.
void note_read(const RoutingContext& context, RequestState& request) {
  if (request.unread_tokens == 0) return;
  if (EndpointState* endpoint = find_endpoint(context, request.endpoint)) {
    endpoint->own.unread_tokens -= std::min<std::uint64_t>(
        endpoint->own.unread_tokens, request.unread_tokens);
  }
  request.unread_tokens = 0;
}

void note_event_time(RequestState& request, Millis now) {
  if (request.events == 0) {
    request.first_event_at = now;
  } else {
    request.longest_pause =
        std::max(request.longest_pause, now - request.last_event_at);
  }
  request.last_event_at = now;
}

// Books more memory for a generation that is longer than expected.
void note_overrun(const RoutingContext& context, RequestState& request) {
  const double produced = produced_tokens(context.state, request);
  const auto held =
      request.facts.prompt_tokens + static_cast<std::uint64_t>(produced);
  if (held <= request.projected_tokens) return;
  const auto expected = static_cast<std::uint64_t>(
      expected_after_overrun(context.state.lengths, request, produced));
  const std::uint64_t more =
      request.facts.prompt_tokens + expected - request.projected_tokens;
  request.projected_tokens += more;
  if (EndpointState* endpoint = find_endpoint(context, request.endpoint)) {
    endpoint->own.tokens += more;
  }
}

}  // namespace

void on_stream_opened(const RoutingContext& context,
                      const StreamOpened& event) {
  RequestState* request = find_request(context, event.request);
  if (request == nullptr || event.attempt != request->attempt) return;
  RelayStream relay{event.request, event.attempt, std::nullopt};
  if (!request->relaying) {
    request->opened = context.state.now;
    relay.first_byte = first_byte_of(context, *request);
  }
  request->relaying = true;
  context.effects.push_back(std::move(relay));
}

void on_stream_event(const RoutingContext& context,
                     const StreamEventArrived& event) {
  RequestState* request = find_request(context, event.request);
  if (request == nullptr || event.attempt != request->attempt) return;
  note_read(context, *request);
  note_event_time(*request, context.state.now);
  request->events += 1;
  note_overrun(context, *request);
  request->last_event = event.event_id;
}

void place_waiting_requests(const RoutingContext& context) {
  std::vector<std::pair<std::uint32_t, std::uint64_t>> waiting;
  for (const auto& [key, request] : context.state.requests) {
    if (request.waits_until == 0) continue;
    const bool favoured = is_favoured(room_of(context.state, request));
    waiting.emplace_back(favoured ? 0 : request.rank, key);
  }
  std::sort(waiting.begin(), waiting.end());
  for (const auto& [rank, key] : waiting) {
    place(context, key, context.state.requests.at(key), "");
  }
}

void end_overdue_requests(const RoutingContext& context) {
  std::vector<std::uint64_t> overdue;
  for (const auto& [key, request] : context.state.requests) {
    if (request.deadline <= context.state.now) overdue.push_back(key);
  }
  for (const std::uint64_t key : overdue) {
    const RequestState& request = context.state.requests.at(key);
    context.effects.push_back(DropAttempt{key, request.attempt});
    if (!request.relaying) {
      refuse(context, key, 504, -1, "timeout");
      continue;
    }
    record(context, "outcome", key,
           {{"id", request.facts.id},
            {"status", "broken_off"},
            {"cause", "timeout"},
            {"events", std::to_string(request.events)}});
    context.effects.push_back(BreakOff{key, "timeout"});
    forget(context, key);
  }
}

}  // namespace peridotreach
