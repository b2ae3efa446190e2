#include "tests/routing/router_harness.h"

#include <utility>

namespace peridotreach::samples {
namespace {

Route sample_route(const std::string& name, CallKind kind,
                   const std::string& service) {
  Route route;
  route.name = name;
  route.host = "example.test";
  route.path_prefix = "/" + name + "/";
  route.kind = kind;
  route.timeout = 30 * kSecond;
  route.first_byte_slo = kind == CallKind::kStream ? 4 * kSecond : 150;
  route.max_attempts = kind == CallKind::kIdempotent ? 2 : 1;
  route.rank = 2;
  route.services = {{service, 1}};
  return route;
}

}  // namespace

Manifest sample_manifest(std::uint64_t version) {
  Manifest manifest;
  manifest.version = version;
  manifest.routes = {sample_route("stream", CallKind::kStream, "engines"),
                     sample_route("entry", CallKind::kNonIdempotent, "plain"),
                     sample_route("lookup", CallKind::kIdempotent, "plain")};
  ServiceSpec engines;
  engines.name = "engines";
  EngineSpec engine;
  engine.slots = 24;
  engine.kv_cache_tokens = 34000;
  engine.tokens_per_event = 4;
  engine.can_move_generations = true;
  engines.engine = engine;
  manifest.services["engines"] = engines;
  manifest.services["plain"].name = "plain";
  manifest.has_accounts = true;
  Account account;
  account.name = "mill";
  account.keys = {"key-1"};
  manifest.accounts = {account};
  index_account_keys(manifest);
  return manifest;
}

EndpointEntry sample_endpoint(const std::string& id, const std::string& service,
                              const std::string& zone) {
  EndpointEntry entry;
  entry.id = id;
  entry.service = service;
  entry.address = "127.0.0.9";
  entry.port = 8000;
  entry.zone = zone;
  entry.slots = 24;
  entry.started_at_ms = 1;
  return entry;
}

RouterHarness::RouterHarness()
    : state(initial_routing_state({"vm-1", "a", RetryBudgetLimits()})) {
  apply(ManifestReceived{sample_manifest(1), {1, 1}, "store"});
  for (const char* id : {"e1", "e2", "e3"}) {
    apply(EndpointListed{sample_endpoint(id, "engines")});
  }
  for (const char* id : {"p1", "p2"}) {
    apply(EndpointListed{sample_endpoint(id, "plain")});
  }
}

std::vector<RoutingEffect> RouterHarness::apply(
    decltype(RoutingEvent::body) body) {
  RoutingEvent event;
  event.at = now;
  event.random = 12345 + static_cast<std::uint64_t>(now);
  event.body = std::move(body);
  RoutingStep step = reduce(std::move(state), event);
  state = std::move(step.state);
  for (const auto& attempt : effects_of<StartAttempt>(step.effects)) {
    attempts_.push_back(attempt);
  }
  effects.insert(effects.end(), step.effects.begin(), step.effects.end());
  return step.effects;
}

std::vector<RoutingEffect> RouterHarness::advance(Millis duration) {
  now += duration;
  return apply(RoutingTicked{});
}

std::uint64_t RouterHarness::send_request(const std::string& path) {
  const std::size_t before = effects.size();
  const std::uint64_t request_number = send_request_unplaced(path);
  answer_placements(
      {effects.begin() + static_cast<std::ptrdiff_t>(before), effects.end()});
  return request_number;
}

std::vector<RoutingEffect> RouterHarness::answer_placements(
    const std::vector<RoutingEffect>& earlier_effects) {
  std::vector<AnswerPlacement> answers =
      effects_of<AnswerPlacement>(earlier_effects);
  for (const RequestPlacement& request :
       effects_of<RequestPlacement>(earlier_effects)) {
    for (const AnswerPlacement& answer :
         effects_of<AnswerPlacement>(apply(PlacementRequested{
             state.config.vm, request.request, request.requirements}))) {
      answers.push_back(answer);
    }
  }
  std::vector<RoutingEffect> later_effects;
  for (const AnswerPlacement& answer : answers) {
    if (answer.peer != state.config.vm) continue;
    const auto new_effects = apply(
        PlacementAnswered{answer.request, answer.endpoint, answer.retry_after});
    later_effects.insert(later_effects.end(), new_effects.begin(),
                         new_effects.end());
  }
  return later_effects;
}

std::uint64_t RouterHarness::send_request_unplaced(const std::string& path) {
  RequestArrived event;
  event.request = next_request_++;
  event.caller_request.id = "id-" + std::to_string(event.request);
  event.caller_request.host = "example.test";
  event.caller_request.path = path;
  event.caller_request.api_key = "key-1";
  event.caller_request.timeout = 20 * kSecond;
  event.caller_request.prompt_tokens = 3000;
  event.caller_request.max_output_tokens = 1000;
  event.caller_request.length_hint = 800;
  event.caller_request.fingerprint = 1000 + event.request;
  apply(event);
  return event.request;
}

StartAttempt RouterHarness::last_attempt(std::uint64_t request) const {
  StartAttempt last_started;
  for (const StartAttempt& attempt : attempts_) {
    if (attempt.request == request) last_started = attempt;
  }
  return last_started;
}

}  // namespace peridotreach::samples
