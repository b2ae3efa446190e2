// Requests from arrival to outcome: matching, placement, retries, timeouts.

#include <algorithm>
#include <sstream>

#include "libperidotreach/routing/endpoint_choice.h"
#include "libperidotreach/routing/output_length.h"
#include "libperidotreach/routing/peer_view.h"
#include "libperidotreach/routing/routing_steps.h"

namespace peridotreach {
namespace {

// A request that was in flight during this many endpoint crashes is rejected.
// Two may be a coincidence when several endpoints fail together.
constexpr std::uint32_t kRejectAfterCrashes = 3;

// Delay after which a caller that was rejected for lack of an endpoint may
// retry, with a random part that spreads the retries.
constexpr Millis kRetryAfter = 250;
constexpr Millis kRetryAfterSpread = 250;

// The same while this process has no manifest: it usually reads one within this
// time after its start. Most callers come back only once.
constexpr Millis kRetryAfterStart = 800;
constexpr Millis kRetryAfterStartSpread = 400;

// Failed connections after which a request is rejected.
constexpr std::uint32_t kMaxConnectFailures = 4;

// Tunnels that peers did not open after which a request is rejected. A peer
// that opens none says so at once, and is not asked again for a while.
constexpr std::uint32_t kMaxTunnelFailures = 6;

// How long a fragile engine that has rejected a request gets none.
constexpr Millis kPauseAfterRejection = kSecond;

// Remaining time below which another attempt is not worth sending.
constexpr Millis kMinTimeLeft = 30;

// Part of its first-byte objective for which a request waits for a permit of a
// limited endpoint, and the time that the coordinator gets to answer.
constexpr Millis kPermitWaitDivisor = 4;
constexpr Millis kMinPermitWait = 50;

// Endpoints accept urgencies from 0 to 9.
constexpr std::uint32_t kLowestUrgency = 9;

Millis random_retry_after(const RoutingState& state) {
  return kRetryAfter + static_cast<Millis>(state.random % kRetryAfterSpread);
}

Millis random_retry_after_start(const RoutingState& state) {
  return kRetryAfterStart +
         static_cast<Millis>(state.random % kRetryAfterStartSpread);
}

std::uint32_t fleet_crash_count(const RoutingState& state,
                                std::uint64_t fingerprint) {
  std::uint32_t crashes = crash_count(state.quarantine, fingerprint, state.now);
  for (const auto& [peer, report] : state.peer_reports) {
    const auto found = report.suspects.find(fingerprint);
    if (found != report.suspects.end()) crashes += found->second;
  }
  return crashes;
}

// Rejects a request that has not run if its prompt crashes engines. Returns
// whether it was rejected.
bool reject_quarantined(const RoutingContext& context,
                        std::uint64_t request_number,
                        const RequestState& request) {
  // Streams are placed again only if no endpoint ran them.
  const bool has_not_run =
      request.sent_attempts == 0 || request.route.kind == CallKind::kStream;
  const bool is_rejected =
      has_not_run && is_quarantined(context.state.prompt_quarantine,
                                    request.caller_request.prompt_parts);
  if (!is_rejected) return false;
  fail_request(context, request_number, kHttpServiceUnavailable, -1,
               "prompt_crashes_endpoints");
  return true;
}

bool is_overdue(const RoutingState& state, const RequestState& request) {
  return request.deadline - state.now < kMinTimeLeft;
}

// Returns whether the request waits for a permit of a limited endpoint: until
// the coordinator has answered, or for a permit that is due within a fraction
// of the request's objective.
bool wait_for_permit(const RoutingContext& context, RequestState& request,
                     const EndpointCriteria& criteria) {
  const Millis now = context.state.now;
  if (request.permit_deadline == 0) {
    request.permit_deadline =
        now + std::max(kMinPermitWait,
                       request.route.first_byte_slo / kPermitWaitDivisor);
  }
  if (request.permit_deadline <= now) return false;
  if (!request.awaited_permit.empty()) return true;
  const std::optional<Millis> permit_at =
      next_permit_at(context.state, criteria);
  return permit_at && *permit_at < request.permit_deadline;
}

// Rejects a request for which there is no endpoint. If endpoints are limited or
// have asked for a pause, its caller is told to come back when the next request
// may be sent to one.
void reject_unplaced(const RoutingContext& context,
                     std::uint64_t request_number,
                     const EndpointCriteria& criteria) {
  const RoutingState& state = context.state;
  const std::optional<Millis> permit_at = next_permit_at(state, criteria);
  const std::optional<Millis> acceptance_at =
      next_acceptance_at(state, criteria);
  Millis wait = 0;
  const char* reason = "no_endpoint";
  if (permit_at) {
    wait = *permit_at - state.now;
    reason = "endpoint_limits";
  }
  if (acceptance_at && (!permit_at || *acceptance_at < *permit_at)) {
    wait = *acceptance_at - state.now;
    reason = "endpoints_decline";
  }
  reject_request(context, request_number, wait + random_retry_after(state),
                 reason);
}

// Sends the request to the best endpoint, or rejects it as not run. Unless the
// call is idempotent, no byte of it may have reached an endpoint that has not
// stated that it did not run it.
void place_request(const RoutingContext& context, std::uint64_t request_number,
                   RequestState& request, const std::string& excluded) {
  if (reject_if_stopping(context, request_number, request)) return;
  if (reject_quarantined(context, request_number, request)) return;
  EndpointCriteria criteria;
  criteria.service = request.service;
  criteria.projected_tokens = request.projected_tokens;
  criteria.prefill_tokens = request.caller_request.prompt_tokens;
  criteria.excluded_endpoints.insert(excluded);
  if (wait_for_placement(context, request_number, request)) return;
  const Millis now = context.state.now;
  criteria.needs_permit_now =
      request.permit_deadline != 0 && request.permit_deadline <= now;
  const PermittedChoice choice =
      choose_with_permit(context, criteria, request.awaited_permit);
  if (choice.endpoint.empty()) {
    request.awaited_permit = choice.awaited_permit;
    if (wait_for_permit(context, request, criteria)) {
      request.avoided_endpoint = excluded;
      return;
    }
    reject_unplaced(context, request_number, criteria);
    return;
  }
  start_attempt(context, request_number, request, choice.endpoint, {});
}

bool try_take_request_retry(const RoutingContext& context,
                            const RequestState& request) {
  return request.route.kind == CallKind::kIdempotent &&
         request.sent_attempts < request.route.max_attempts &&
         !is_overdue(context.state, request) &&
         try_take_service_retry(context, request.service,
                                process_count(context.state));
}

// Returns numbers in hexadecimal, separated by commas.
std::string format_hexadecimal(const std::vector<std::uint64_t>& numbers) {
  std::ostringstream text;
  text << std::hex;
  for (const std::uint64_t number : numbers) {
    if (text.tellp() > 0) text << ',';
    text << number;
  }
  return text.str();
}

// Records a prompt whose generation had just begun when its endpoint crashed.
// An endpoint that was leaving ended for that reason, and a tunnel may have
// ended with the peer that opened it.
void observe_prompt_crash(const RoutingContext& context,
                          const RequestState& request) {
  const bool has_just_begun =
      request.event_count == 0 ||
      context.state.now - request.first_event_at < kSoundAfter;
  const EndpointState* endpoint = find_endpoint(context, request.endpoint);
  const bool counts = request.route.kind == CallKind::kStream &&
                      !request.is_prompt_sound && has_just_begun &&
                      !request.through_peer && endpoint != nullptr &&
                      endpoint->leaving_since == 0;
  if (!counts) return;
  record_pattern_change(
      context,
      record_prompt_crash(
          context.state.prompt_quarantine, request.caller_request.prompt_parts,
          crash_identity(endpoint->entry.id, endpoint->entry.started_at_ms),
          context.state.now),
      context.state.config.vm);
}

// Records that the generation ran on or ended well, once per request.
void observe_sound_prompt(const RoutingContext& context,
                          RequestState& request) {
  if (request.is_prompt_sound) return;
  request.is_prompt_sound = true;
  record_pattern_change(context,
                        record_sound_prompt(context.state.prompt_quarantine,
                                            request.caller_request.prompt_parts,
                                            context.state.now),
                        context.state.config.vm);
}

// Handles a request that has, or may have, run in part.
void on_response_broken(const RoutingContext& context,
                        std::uint64_t request_number, RequestState& request) {
  const Millis generated_for =
      request.event_count == 0 ? 0 : context.state.now - request.first_event_at;
  record_decision(context, "response_broken", request_number,
                  {{"id", request.caller_request.id},
                   {"endpoint", request.endpoint},
                   {"fingerprint",
                    format_hexadecimal({request.caller_request.fingerprint})},
                   {"prompt_parts",
                    format_hexadecimal(request.caller_request.prompt_parts)},
                   {"events", std::to_string(request.event_count)},
                   {"generated_ms", std::to_string(generated_for)}});
  if (!may_path_have_ended(context.state, request)) {
    record_crash(context.state.quarantine, request.caller_request.fingerprint,
                 context.state.now);
    observe_prompt_crash(context, request);
  }
  if (request.relaying) {
    record_decision(
        context, "outcome", request_number,
        {{"status", "broken_off"}, {"cause", "endpoint's stream broke off"}});
    context.effects.push_back(
        AbortResponse{request_number, "endpoint_stream_broken"});
    release_request(context, request_number);
    return;
  }
  request.may_have_run = true;
  if (try_take_request_retry(context, request)) {
    place_request(context, request_number, request, request.endpoint);
    return;
  }
  fail_request(context, request_number, kHttpBadGateway, -1,
               "endpoint_answer_broken");
}

// Sends the request to the same endpoint again: nothing of it has left, and the
// endpoint did not cause that.
void repeat_attempt(const RoutingContext& context, std::uint64_t request_number,
                    RequestState& request) {
  request.sent_attempts -= 1;
  start_attempt(context, request_number, request, std::string(request.endpoint),
                KvCacheSource(request.kv_cache_source));
}

// Records what a failed connection says about the endpoint. Returns whether the
// attempt may be repeated there, by another way.
bool observe_connect_failure(const RoutingContext& context,
                             RequestState& request, const AttemptEnded& event) {
  if (!request.through_peer) {
    on_endpoint_unreachable(context, request.endpoint);
    return sends_through_peers(context.state);
  }
  switch (event.connect_failure) {
    case ConnectFailure::kEndpointUnreachable:
      eject_unreachable(context, request.endpoint);
      return false;
    case ConnectFailure::kNoTunnel:
      request.tunnel_failures += 1;
      return request.tunnel_failures < kMaxTunnelFailures;
    case ConnectFailure::kDeclinedByPeer:
      if (EndpointState* endpoint = find_endpoint(context, request.endpoint)) {
        endpoint->declined_until = std::max(
            endpoint->declined_until, context.state.now + event.declined_for);
      }
      return false;
  }
  return false;
}

void on_connect_failed(const RoutingContext& context,
                       std::uint64_t request_number, RequestState& request,
                       const AttemptEnded& event) {
  const bool may_repeat = observe_connect_failure(context, request, event);
  const EndpointState* endpoint = find_endpoint(context, request.endpoint);
  const bool is_usable =
      endpoint != nullptr &&
      (request.relaying ? may_continue_generations(*endpoint, context.state.now)
                        : accepts_new_requests(*endpoint, context.state.now));
  if (may_repeat && is_usable && !is_overdue(context.state, request)) {
    repeat_attempt(context, request_number, request);
    return;
  }
  if (request.relaying) {
    if (!return_to_previous_endpoint(context, request_number, request))
      on_response_broken(context, request_number, request);
    return;
  }
  request.sent_attempts -= 1;
  request.connect_failures += 1;
  if (request.connect_failures >= kMaxConnectFailures ||
      request.tunnel_failures >= kMaxTunnelFailures ||
      is_overdue(context.state, request)) {
    reject_request(context, request_number, random_retry_after(context.state),
                   "endpoints_unreachable");
    return;
  }
  place_request(context, request_number, request, request.endpoint);
}

FirstByteLatency first_byte_latency(const RoutingContext& context,
                                    const RequestState& request) {
  return {request.route.kind, request.account,
          context.state.now - request.arrived_at};
}

void deliver_response(const RoutingContext& context,
                      std::uint64_t request_number, const RequestState& request,
                      const AttemptEnded& event) {
  record_decision(
      context, "outcome", request_number,
      {{"status", std::to_string(event.status)},
       {"endpoint", request.endpoint},
       {"ms", std::to_string(context.state.now - request.arrived_at)}});
  // A crash can look like the end of the connection.
  if (!event.end.ends_with_connection)
    clear_suspect(context.state.quarantine, request.caller_request.fingerprint);
  context.effects.push_back(DeliverResponse{
      request_number, request.attempt, first_byte_latency(context, request)});
  release_request(context, request_number);
}

constexpr unsigned kFirstServerError = 500;

void on_complete_response(const RoutingContext& context,
                          std::uint64_t request_number, RequestState& request,
                          const AttemptEnded& event) {
  const bool failed = event.status >= kFirstServerError;
  request.may_have_run = true;
  if (failed && try_take_request_retry(context, request)) {
    place_request(context, request_number, request, request.endpoint);
    return;
  }
  deliver_response(context, request_number, request, event);
}

void on_not_run(const RoutingContext& context, std::uint64_t request_number,
                RequestState& request) {
  if (request.relaying) {
    if (!return_to_previous_endpoint(context, request_number, request))
      on_response_broken(context, request_number, request);
    return;
  }
  if (try_take_request_retry(context, request)) {
    place_request(context, request_number, request, request.endpoint);
    return;
  }
  reject_request(context, request_number, random_retry_after(context.state),
                 "endpoint_refused");
}

// Returns the outcome of an attempt. A response counts as complete only if its
// end shows it.
AttemptOutcome settled_outcome(AttemptOutcome outcome, const ResponseEnd& end,
                               bool stop_ordered) {
  const bool has_response = outcome == AttemptOutcome::kCompleteResponse ||
                            outcome == AttemptOutcome::kStreamEnded;
  if (!has_response || is_complete(end, stop_ordered)) return outcome;
  return AttemptOutcome::kBroken;
}

// A fragile endpoint gets less for a rejection: calls by their permits, and
// engines nothing from this process for a while.
void record_rejection(const RoutingContext& context, EndpointState& endpoint) {
  if (!endpoint.limit.rejection_limit) return;
  endpoint.permits.rejections += 1;
  if (find_engine_spec(context.state, endpoint.entry.service) == nullptr)
    return;
  endpoint.declined_until = std::max(endpoint.declined_until,
                                     context.state.now + kPauseAfterRejection);
}

void record_attempt_outcome(const RoutingContext& context,
                            const RequestState& request,
                            const AttemptEnded& event) {
  EndpointState* endpoint = find_endpoint(context, request.endpoint);
  if (endpoint == nullptr) return;
  // Its slot becomes free.
  if (endpoint->limit.rejection_limit)
    context.state.permits_wanted.insert(request.endpoint);
  if (event.outcome == AttemptOutcome::kNotSent) return;
  if (event.outcome == AttemptOutcome::kMisdirected) {
    endpoint->listed = false;
    endpoint->leaving_since = context.state.now;
    return;
  }
  if (event.outcome == AttemptOutcome::kBroken &&
      may_path_have_ended(context.state, request))
    return;
  if (event.outcome == AttemptOutcome::kNotRun)
    record_rejection(context, *endpoint);
  const bool is_call_answered =
      event.outcome == AttemptOutcome::kCompleteResponse &&
      request.route.kind != CallKind::kStream;
  if (is_call_answered) {
    record_call_time(endpoint->call_time,
                     context.state.now - request.attempt_started_at,
                     context.state.now);
  }
  const bool failed = event.outcome == AttemptOutcome::kBroken ||
                      event.status >= kFirstServerError;
  record_answer(*endpoint, failed, context.state.now);
  if (event.outcome == AttemptOutcome::kBroken && event.status == 0) {
    const bool was_cold = cold_rate(context.state, *endpoint).has_value();
    record_transport_failure(*endpoint, context.state.now);
    record_if_cold(context, *endpoint, was_cold, "answer failed");
  }
}

}  // namespace

void reserve_for_copy(const RoutingContext& context,
                      const std::string& endpoint, std::uint64_t tokens) {
  EndpointState* state = find_endpoint(context, endpoint);
  if (state == nullptr) return;
  state->own_usage.projected_tokens += tokens;
  state->own_usage.incoming_copies += 1;
}

void release_copy_reservation(const RoutingContext& context,
                              const std::string& endpoint,
                              std::uint64_t tokens) {
  EndpointState* state = find_endpoint(context, endpoint);
  if (state == nullptr) return;
  state->own_usage.projected_tokens -=
      std::min(state->own_usage.projected_tokens, tokens);
  state->own_usage.incoming_copies -=
      std::min<std::uint32_t>(state->own_usage.incoming_copies, 1);
}

void assign_endpoint(const RoutingContext& context, RequestState& request,
                     const std::string& endpoint) {
  if (EndpointState* before = find_endpoint(context, request.endpoint)) {
    before->own_usage.running_requests -=
        std::min<std::uint32_t>(before->own_usage.running_requests, 1);
    before->own_usage.projected_tokens -=
        std::min(before->own_usage.projected_tokens, request.projected_tokens);
    before->own_usage.pending_prefill_tokens -=
        std::min<std::uint64_t>(before->own_usage.pending_prefill_tokens,
                                request.pending_prefill_tokens);
  }
  request.endpoint = endpoint;
  const bool prefills =
      request.route.kind == CallKind::kStream && !request.relaying;
  request.pending_prefill_tokens =
      prefills ? request.caller_request.prompt_tokens : 0;
  if (EndpointState* after = find_endpoint(context, endpoint)) {
    after->own_usage.running_requests += 1;
    after->own_usage.projected_tokens += request.projected_tokens;
    after->own_usage.pending_prefill_tokens += request.pending_prefill_tokens;
  }
}

void fail_request(const RoutingContext& context, std::uint64_t request_number,
                  unsigned status, Millis retry_after,
                  const std::string& reason) {
  std::vector<DecisionField> fields = {{"status", std::to_string(status)},
                                       {"reason", reason}};
  if (const RequestState* request = find_request(context, request_number)) {
    fields.push_back({"endpoint", request->endpoint});
    fields.push_back({"attempts", std::to_string(request->attempt)});
    fields.push_back(
        {"ms", std::to_string(context.state.now - request->arrived_at)});
  }
  record_decision(context, "outcome", request_number, std::move(fields));
  context.effects.push_back(
      SendLocalResponse{request_number, status, retry_after, reason});
  release_request(context, request_number);
}

void reject_request(const RoutingContext& context, std::uint64_t request_number,
                    Millis retry_after, const std::string& reason) {
  const RequestState* request = find_request(context, request_number);
  if (request != nullptr && request->may_have_run) {
    fail_request(context, request_number, kHttpBadGateway, -1, reason);
    return;
  }
  fail_request(context, request_number, kHttpServiceUnavailable, retry_after,
               reason);
}

void break_off_request(const RoutingContext& context,
                       std::uint64_t request_number, const std::string& cause) {
  const RequestState* request = find_request(context, request_number);
  if (request == nullptr) return;
  record_decision(context, "outcome", request_number,
                  {{"id", request->caller_request.id},
                   {"status", "broken_off"},
                   {"cause", cause},
                   {"events", std::to_string(request->event_count)}});
  context.effects.push_back(CancelAttempt{request_number, request->attempt});
  context.effects.push_back(AbortResponse{request_number, cause});
  release_request(context, request_number);
}

void release_request(const RoutingContext& context,
                     std::uint64_t request_number) {
  RequestState* request = find_request(context, request_number);
  if (request == nullptr) return;
  clear_move(context, request_number, *request);
  assign_endpoint(context, *request, "");
  context.state.requests.erase(request_number);
}

double produced_tokens(const RoutingState& state, const RequestState& request) {
  const EngineSpec* engine = find_engine_spec(state, request.service);
  const std::uint32_t per_event =
      engine != nullptr ? engine->tokens_per_event : 1;
  return static_cast<double>(request.event_count) * per_event;
}

bool try_take_service_retry(const RoutingContext& context,
                            const std::string& service,
                            std::size_t process_count) {
  RoutingState& state = context.state;
  PeerRetryCounts peers;
  peers.process_count = process_count;
  if (peridotreach::process_count(state) > kMaxSingleCellPeers + 1)
    peers.report_delay = kRelayedRetryReportDelay;
  for (const auto& [peer, report] : state.peer_retry_reports) {
    const auto found = report.counts_by_service.find(service);
    if (found == report.counts_by_service.end()) continue;
    peers.counts.requests += found->second.requests;
    peers.counts.retries += found->second.retries;
  }
  return try_take_shared_retry(state.retry_budgets[service],
                               state.config.retry_limits, peers, state.now);
}

void start_attempt(const RoutingContext& context, std::uint64_t request_number,
                   RequestState& request, const std::string& endpoint,
                   KvCacheSource source) {
  RoutingState& state = context.state;
  const EndpointUsage& own_usage = state.endpoints.at(endpoint).own_usage;
  const EndpointUsage& peer_usage = state.endpoints.at(endpoint).peer_usage;
  request.is_prefilled_alone = own_usage.pending_prefill_tokens == 0 &&
                               peer_usage.pending_prefill_tokens == 0;
  request.attempt_started_at = state.now;
  request.event_group_started_at = 0;
  assign_endpoint(context, request, endpoint);
  request.placement_deadline = 0;
  request.permit_deadline = 0;
  request.stop_ordered = false;
  request.attempt += 1;
  request.sent_attempts += 1;
  const EndpointState& target = state.endpoints.at(endpoint);
  StartAttempt attempt;
  attempt.request = request_number;
  attempt.attempt = request.attempt;
  attempt.endpoint = endpoint;
  attempt.address = target.entry.address;
  attempt.port = target.entry.port;
  attempt.account = request.account;
  attempt.time_left = request.deadline - state.now;
  attempt.urgency = std::min(request.rank, kLowestUrgency);
  attempt.is_stream = request.route.kind == CallKind::kStream;
  request.through_peer = attempt.through_peer = sends_through_peers(state);
  request.kv_cache_source = source;
  attempt.source = std::move(source);
  std::vector<DecisionField> fields = {
      {"id", request.caller_request.id},
      {"route", request.route.name},
      {"account", request.account},
      {"endpoint", endpoint},
      {"attempt", std::to_string(request.attempt)},
      {"manifest", std::to_string(state.manifest->version)},
      {"tokens", std::to_string(request.projected_tokens)},
      {"prompt", std::to_string(request.caller_request.prompt_tokens)},
      {"endpoint_tokens", std::to_string(target.own_usage.projected_tokens +
                                         target.peer_usage.projected_tokens)},
      {"endpoint_running", std::to_string(target.own_usage.running_requests +
                                          target.peer_usage.running_requests)},
      {"time_left_ms", std::to_string(attempt.time_left)}};
  if (attempt.through_peer) fields.push_back({"path", "peer"});
  if (attempt.is_stream) append_speed_fields(state, target, fields);
  record_decision(context, "placed", request_number, std::move(fields));
  context.effects.push_back(std::move(attempt));
}

void on_request_arrived(const RoutingContext& context,
                        const RequestArrived& event) {
  RoutingState& state = context.state;
  const CallerRequest& caller_request = event.caller_request;
  const auto respond = [&](unsigned status, Millis retry_after,
                           const char* reason) {
    record_decision(context, "outcome", event.request,
                    {{"id", caller_request.id},
                     {"status", std::to_string(status)},
                     {"reason", reason}});
    context.effects.push_back(
        SendLocalResponse{event.request, status, retry_after, reason});
  };
  if (!state.manifest) {
    respond(kHttpServiceUnavailable, random_retry_after_start(state),
            "no_manifest");
    return;
  }
  const Route* route =
      match_route(*state.manifest, caller_request.host, caller_request.path);
  if (route == nullptr) {
    respond(404, -1, "no_route");
    return;
  }
  const Account* account =
      find_account(*state.manifest, caller_request.api_key);
  const bool is_allowed = route->allows_anonymous ||
                          !state.manifest->has_accounts || account != nullptr;
  if (!is_allowed) {
    respond(401, -1, "unknown_key");
    return;
  }
  if (fleet_crash_count(state, caller_request.fingerprint) >=
      kRejectAfterCrashes) {
    respond(kHttpServiceUnavailable, -1, "crashes_endpoints");
    return;
  }
  if (is_quarantined(state.prompt_quarantine, caller_request.prompt_parts)) {
    respond(kHttpServiceUnavailable, -1, "prompt_crashes_endpoints");
    return;
  }
  RequestState request;
  request.caller_request = caller_request;
  request.route = *route;
  request.service = pick_service(*route, state.random);
  if (account != nullptr) request.account = account->name;
  request.rank =
      account != nullptr ? account->rank.value_or(route->rank) : route->rank;
  request.arrived_at = state.now;
  const Millis caller_timeout =
      caller_request.timeout > 0 ? caller_request.timeout : route->timeout;
  request.deadline = state.now + std::min(caller_timeout, route->timeout);
  if (route->kind == CallKind::kStream) {
    request.projected_tokens =
        caller_request.prompt_tokens +
        static_cast<std::uint64_t>(expected_output_tokens(state, request));
  }
  record_request(state.retry_budgets[request.service],
                 state.config.retry_limits, state.now);
  RequestState& stored =
      state.requests.emplace(event.request, std::move(request)).first->second;
  place_request(context, event.request, stored, "");
}

void on_caller_disconnected(const RoutingContext& context,
                            const CallerDisconnected& event) {
  const RequestState* request = find_request(context, event.request);
  if (request == nullptr) return;
  record_decision(
      context, "outcome", event.request,
      {{"id", request->caller_request.id},
       {"status", "caller_left"},
       {"ms", std::to_string(context.state.now - request->arrived_at)}});
  context.effects.push_back(CancelAttempt{event.request, request->attempt});
  release_request(context, event.request);
}

void finish_stream(const RoutingContext& context, std::uint64_t request_number,
                   RequestState& request, const ResponseEnd& end) {
  record_decision(
      context, "outcome", request_number,
      {{"status", "complete"},
       {"endpoint", request.endpoint},
       {"route", request.route.name},
       {"events", std::to_string(request.event_count)},
       {"first_event_ms",
        std::to_string(request.first_event_at - request.arrived_at)},
       {"longest_pause_ms", std::to_string(request.longest_event_gap)},
       {"moves", std::to_string(request.move_count)},
       {"ms", std::to_string(context.state.now - request.arrived_at)}});
  // A crash can look like the end of the connection.
  if (!end.ends_with_connection) {
    clear_suspect(context.state.quarantine, request.caller_request.fingerprint);
    observe_sound_prompt(context, request);
  }
  record_output_length(context.state, request,
                       produced_tokens(context.state, request));
  context.effects.push_back(FinishStream{request_number});
  release_request(context, request_number);
}

void on_attempt_ended(const RoutingContext& context,
                      const AttemptEnded& reported) {
  RequestState* request = find_request(context, reported.request);
  if (request == nullptr || reported.attempt != request->attempt) return;
  AttemptEnded event = reported;
  event.outcome =
      settled_outcome(event.outcome, event.end, request->stop_ordered);
  if (on_source_ended(context, event.request, *request, event)) return;
  record_attempt_outcome(context, *request, event);
  switch (event.outcome) {
    case AttemptOutcome::kNotSent:
      on_connect_failed(context, event.request, *request, event);
      return;
    case AttemptOutcome::kNotRun:
    case AttemptOutcome::kMisdirected:
      on_not_run(context, event.request, *request);
      return;
    case AttemptOutcome::kCompleteResponse:
      if (request->relaying) {
        on_response_broken(context, event.request, *request);
        return;
      }
      on_complete_response(context, event.request, *request, event);
      return;
    case AttemptOutcome::kStreamEnded:
      finish_stream(context, event.request, *request, event.end);
      return;
    case AttemptOutcome::kBroken:
      on_response_broken(context, event.request, *request);
      return;
  }
}

namespace {

// The first event shows that the endpoint has prefilled the prompt.
void record_prefill_finished(const RoutingContext& context,
                             RequestState& request) {
  if (request.pending_prefill_tokens == 0) return;
  if (EndpointState* endpoint = find_endpoint(context, request.endpoint)) {
    endpoint->own_usage.pending_prefill_tokens -=
        std::min<std::uint64_t>(endpoint->own_usage.pending_prefill_tokens,
                                request.pending_prefill_tokens);
  }
  request.pending_prefill_tokens = 0;
}

void record_event_time(RequestState& request, Millis now) {
  if (request.event_count == 0) {
    request.first_event_at = now;
  } else {
    request.longest_event_gap =
        std::max(request.longest_event_gap, now - request.last_event_at);
  }
  request.last_event_at = now;
}

// Reserves more memory for a generation that is longer than expected.
void reserve_for_overrun(const RoutingContext& context, RequestState& request) {
  const double produced = produced_tokens(context.state, request);
  const auto used_tokens = request.caller_request.prompt_tokens +
                           static_cast<std::uint64_t>(produced);
  if (used_tokens <= request.projected_tokens) return;
  const auto expected =
      static_cast<std::uint64_t>(expected_output_after_overrun(
          context.state.length_model, request, produced));
  const std::uint64_t additional = request.caller_request.prompt_tokens +
                                   expected - request.projected_tokens;
  request.projected_tokens += additional;
  if (EndpointState* endpoint = find_endpoint(context, request.endpoint)) {
    endpoint->own_usage.projected_tokens += additional;
  }
}

}  // namespace

void on_stream_opened(const RoutingContext& context,
                      const StreamOpened& event) {
  RequestState* request = find_request(context, event.request);
  if (request == nullptr || event.attempt != request->attempt) return;
  RelayStream relay{event.request, event.attempt, std::nullopt};
  if (!request->relaying) {
    request->stream_opened_at = context.state.now;
    relay.first_byte = first_byte_latency(context, *request);
  }
  request->relaying = true;
  context.effects.push_back(std::move(relay));
}

void on_stream_event_received(const RoutingContext& context,
                              const StreamEventReceived& event) {
  RequestState* request = find_request(context, event.request);
  if (request == nullptr || event.attempt != request->attempt) return;
  record_prefill_finished(context, *request);
  measure_event(context, *request);
  if (request->resumed_at != 0) {
    record_decision(
        context, "move_continued", event.request,
        {{"endpoint", request->endpoint},
         {"resume_ms", std::to_string(context.state.now - request->resumed_at)},
         {"pause_ms",
          std::to_string(context.state.now - request->last_event_at)}});
    request->resumed_at = 0;
  }
  record_event_time(*request, context.state.now);
  request->event_count += 1;
  reserve_for_overrun(context, *request);
  request->last_event_id = event.event_id;
  if (context.state.now - request->first_event_at >= kSoundAfter)
    observe_sound_prompt(context, *request);
}

void record_pattern_change(const RoutingContext& context,
                           const PatternChange& change,
                           const std::string& source) {
  for (const PromptPattern& pattern : change.added) {
    record_decision(
        context, "prompt_quarantined", 0,
        {{"prompt_parts", format_hexadecimal(pattern)}, {"source", source}});
  }
  for (const PromptPattern& pattern : change.removed) {
    record_decision(
        context, "prompt_released", 0,
        {{"prompt_parts", format_hexadecimal(pattern)}, {"source", source}});
  }
}

void place_waiting_requests(const RoutingContext& context) {
  std::vector<std::pair<std::uint32_t, std::uint64_t>> waiting;
  for (const auto& [request_number, request] : context.state.requests) {
    const bool is_waiting =
        request.placement_deadline != 0 || request.permit_deadline != 0;
    if (!is_waiting) continue;
    const bool prioritized =
        is_prioritized(placement_requirements(context.state, request));
    waiting.emplace_back(prioritized ? 0 : request.rank, request_number);
  }
  std::sort(waiting.begin(), waiting.end());
  for (const auto& [rank, request_number] : waiting) {
    RequestState& request = context.state.requests.at(request_number);
    place_request(context, request_number, request, request.avoided_endpoint);
  }
}

void end_overdue_requests(const RoutingContext& context) {
  std::vector<std::uint64_t> overdue;
  for (const auto& [request_number, request] : context.state.requests) {
    if (request.deadline <= context.state.now)
      overdue.push_back(request_number);
  }
  for (const std::uint64_t request_number : overdue) {
    const RequestState& request = context.state.requests.at(request_number);
    if (request.relaying) {
      break_off_request(context, request_number, "timeout");
      continue;
    }
    context.effects.push_back(CancelAttempt{request_number, request.attempt});
    fail_request(context, request_number, 504, -1, "timeout");
  }
}

}  // namespace peridotreach
