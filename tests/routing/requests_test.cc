// Tests of routed requests: matching, rejections, retries, timeouts.

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "libperidotreach/routing/endpoint_choice.h"
#include "tests/routing/router_harness.h"

namespace peridotreach {
namespace {

using samples::effects_of;
using samples::RouterHarness;

unsigned status_of(const std::vector<RoutingEffect>& effects) {
  const auto answers = effects_of<SendLocalResponse>(effects);
  return answers.empty() ? 0 : answers.back().status;
}

// Returns the fields of a decision, with its name as `decision`.
std::map<std::string, std::string> fields_of(const RecordDecision& decision) {
  std::map<std::string, std::string> fields;
  for (const DecisionField& field : decision.fields)
    fields[field.name] = field.value;
  fields["decision"] = decision.decision;
  return fields;
}

// Returns the fields of the only decision among `effects`.
std::map<std::string, std::string> only_decision(
    const std::vector<RoutingEffect>& effects) {
  const auto recorded = effects_of<RecordDecision>(effects);
  REQUIRE(recorded.size() == 1);
  return fields_of(recorded[0]);
}

// Returns a streaming request that the sample manifest accepts.
CallerRequest stream_request() {
  CallerRequest caller_request;
  caller_request.host = "example.test";
  caller_request.path = "/stream/1";
  caller_request.api_key = "key-1";
  return caller_request;
}

// Returns the report of a peer that has filled the memory of all engines.
PeerReportReceived full_engines_report() {
  PeerReportReceived report;
  report.peer = "vm-2";
  report.endpoint_usage = {
      {"e1", 8, 33000}, {"e2", 8, 33000}, {"e3", 8, 33000}};
  return report;
}

TEST_CASE("requests without a manifest are rejected as not run", "[routing]") {
  RoutingState state = initial_routing_state({});
  RoutingEvent event;
  event.body = RequestArrived{1, {}};
  const RoutingStep step = reduce(state, event);
  CHECK(status_of(step.effects) == 503);
}

TEST_CASE("unknown routes and unknown API keys get different statuses",
          "[routing]") {
  RouterHarness router;
  router.send_request("/nowhere/x");
  CHECK(status_of(router.effects) == 404);
  RequestArrived event;
  event.request = 99;
  event.caller_request.host = "example.test";
  event.caller_request.path = "/entry/1";
  event.caller_request.api_key = "another";
  CHECK(status_of(router.apply(event)) == 401);
}

TEST_CASE("the longest matching path prefix of a host is chosen", "[routing]") {
  Manifest manifest = samples::sample_manifest(1);
  Route longer = manifest.routes[1];
  longer.name = "longer";
  longer.path_prefix = "/entry/special/";
  manifest.routes.push_back(longer);
  CHECK(match_route(manifest, "example.test", "/entry/special/1")->name ==
        "longer");
  CHECK(match_route(manifest, "example.test", "/entry/1")->name == "entry");
  CHECK(match_route(manifest, "other.test", "/entry/1") == nullptr);
}

TEST_CASE("an older manifest does not replace a newer one", "[routing]") {
  RouterHarness router;
  router.apply(ManifestReceived{samples::sample_manifest(7), {1, 1}, "store"});
  router.apply(ManifestReceived{samples::sample_manifest(3), {1, 1}, "store"});
  CHECK(router.state.manifest->version == 7);
}

TEST_CASE("the log tells where a manifest came from and why it was ignored",
          "[routing]") {
  RouterHarness router;
  const auto taken = only_decision(router.apply(
      ManifestReceived{samples::sample_manifest(7), {1, 31}, "vm-2"}));
  CHECK(taken ==
        std::map<std::string, std::string>{{"decision", "manifest_taken"},
                                           {"version", "7"},
                                           {"revision", "1.31"},
                                           {"source", "vm-2"}});
  const auto ignored = only_decision(router.apply(
      ManifestReceived{samples::sample_manifest(3), {1, 31}, "store"}));
  CHECK(ignored.at("decision") == "manifest_ignored");
  CHECK(ignored.at("in_force") == "7");
}

TEST_CASE("a call that has run is not rejected as not run", "[routing]") {
  RouterHarness router;
  const auto request = router.send_request("/lookup/1");
  const bool is_refused = GENERATE(true, false);
  if (!is_refused) {
    // No other endpoint is left for the second attempt.
    const std::string other =
        router.last_attempt(request).endpoint == "p1" ? "p2" : "p1";
    router.apply(EndpointUnlisted{other});
  }
  auto effects = router.apply(
      AttemptEnded{request, 1, AttemptOutcome::kCompleteResponse, 500});
  if (is_refused)
    effects = router.apply(AttemptEnded{request, 2, AttemptOutcome::kNotRun});
  const auto responses = effects_of<SendLocalResponse>(effects);
  REQUIRE(responses.size() == 1);
  CHECK(responses.front().status == 502);
}

TEST_CASE("a non-idempotent call with a broken answer fails with 502",
          "[routing]") {
  RouterHarness router;
  const auto request = router.send_request("/entry/1");
  const auto effects =
      router.apply(AttemptEnded{request, 1, AttemptOutcome::kBroken, 0});
  CHECK(status_of(effects) == 502);
  CHECK(effects_of<StartAttempt>(effects).empty());
}

TEST_CASE("a call is sent to another endpoint after a failed connection",
          "[routing]") {
  RouterHarness router;
  const auto request = router.send_request("/entry/1");
  const std::string first = router.last_attempt(request).endpoint;
  router.apply(AttemptEnded{request, 1, AttemptOutcome::kNotSent, 0});
  CHECK(router.last_attempt(request).attempt == 2);
  CHECK(router.last_attempt(request).endpoint != first);
}

TEST_CASE("a rejection by the endpoint is reported as not run", "[routing]") {
  RouterHarness router;
  const auto request = router.send_request("/entry/1");
  const auto effects =
      router.apply(AttemptEnded{request, 1, AttemptOutcome::kNotRun, 503});
  const auto answers = effects_of<SendLocalResponse>(effects);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].status == 503);
  CHECK(answers[0].retry_after >= 0);
}

TEST_CASE("idempotent calls are retried up to their attempt limit",
          "[routing]") {
  RouterHarness router;
  const auto request = router.send_request("/lookup/1");
  const std::string first = router.last_attempt(request).endpoint;
  router.apply(
      AttemptEnded{request, 1, AttemptOutcome::kCompleteResponse, 500});
  CHECK(router.last_attempt(request).endpoint != first);
  const auto effects = router.apply(
      AttemptEnded{request, 2, AttemptOutcome::kCompleteResponse, 500});
  CHECK(effects_of<StartAttempt>(effects).empty());
  CHECK(effects_of<DeliverResponse>(effects).size() == 1);
}

TEST_CASE("a request that times out is ended and its attempt cancelled",
          "[routing]") {
  RouterHarness router;
  const auto request = router.send_request("/entry/1");
  const auto effects = router.advance(20 * kSecond);
  CHECK(status_of(effects) == 504);
  REQUIRE(effects_of<CancelAttempt>(effects).size() == 1);
  CHECK(effects_of<CancelAttempt>(effects)[0].request == request);
}

TEST_CASE("a short stream is sent in time without capacity, a long one waits",
          "[routing]") {
  RouterHarness router;
  PeerReportReceived full_engines;
  full_engines.peer = "vm-2";
  for (const char* id : {"e1", "e2", "e3"}) {
    full_engines.endpoint_usage.push_back({id, 8, 40000});
  }
  router.apply(full_engines);
  CallerRequest caller_request = stream_request();
  caller_request.prompt_tokens = 2000;
  caller_request.max_output_tokens = caller_request.length_hint = 8;
  router.apply(RequestArrived{901, caller_request});
  caller_request.max_output_tokens = caller_request.length_hint = 800;
  router.apply(RequestArrived{902, caller_request});
  const auto answer_without_capacity = [&] {
    router.now += 60;
    router.answer_placements(router.apply(RoutingTicked{}));
    router.apply(PlacementAnswered{901, ""});
    router.apply(PlacementAnswered{902, ""});
  };
  while (router.now < 1000 + 3300) answer_without_capacity();
  CHECK(effects_of<StartAttempt>(router.effects).empty());
  while (router.now < 1000 + 3600) answer_without_capacity();
  const auto starts = effects_of<StartAttempt>(router.effects);
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].request == 901);
}

TEST_CASE("output lengths reported by peers correct a hint", "[routing]") {
  RouterHarness router;
  CallerRequest caller_request = stream_request();
  caller_request.prompt_tokens = 100;
  caller_request.max_output_tokens = 1600;
  caller_request.length_hint = 1600;
  const auto projected = [&](std::uint64_t request_number) {
    router.apply(RequestArrived{request_number, caller_request});
    return router.state.requests.at(request_number).projected_tokens;
  };
  CHECK(projected(901) == 1700);
  PeerReportReceived peer_report;
  peer_report.peer = "vm-2";
  peer_report.finished_outputs = {{"stream", 4, 1600}};
  router.apply(peer_report);
  CHECK(projected(902) == 1700);
  peer_report.peer = "vm-3";
  router.apply(peer_report);
  CHECK(projected(903) == 100 + 1000);
  router.apply(PeerLost{"vm-3"});
  CHECK(projected(904) == 1700);
}

TEST_CASE("the attempt is cancelled when the caller disconnects", "[routing]") {
  RouterHarness router;
  const auto request = router.send_request("/stream/1");
  const auto effects = router.apply(CallerDisconnected{request});
  CHECK(effects_of<CancelAttempt>(effects).size() == 1);
  CHECK(router.state.requests.empty());
  for (const auto& [id, endpoint] : router.state.endpoints) {
    CHECK(endpoint.own_usage.running_requests == 0);
    CHECK(endpoint.own_usage.projected_tokens == 0);
    CHECK(endpoint.own_usage.pending_prefill_tokens == 0);
  }
}

TEST_CASE("leaving endpoints get no new requests", "[routing]") {
  RouterHarness router;
  EndpointEntry leaving = samples::sample_endpoint("p1", "plain");
  leaving.leaving = true;
  router.apply(EndpointListed{leaving});
  for (int i = 0; i < 10; ++i) {
    CHECK(router.last_attempt(router.send_request("/entry/1")).endpoint ==
          "p2");
  }
  router.apply(EndpointUnlisted{"p2"});
  router.send_request("/entry/1");
  CHECK(status_of(router.effects) == 503);
}

TEST_CASE("a misdirected request disables the stale entry", "[routing]") {
  RouterHarness router;
  const auto request = router.send_request("/lookup/1");
  const std::string stale = router.last_attempt(request).endpoint;
  router.apply(AttemptEnded{request, 1, AttemptOutcome::kMisdirected, 421});
  CHECK_FALSE(
      accepts_new_requests(router.state.endpoints.at(stale), router.state.now));
}

TEST_CASE("a request in flight at three endpoint crashes is rejected",
          "[routing]") {
  RouterHarness router;
  RequestArrived event;
  event.caller_request.host = "example.test";
  event.caller_request.path = "/entry/1";
  event.caller_request.api_key = "key-1";
  event.caller_request.fingerprint = 77;
  for (std::uint64_t i = 500; i < 503; ++i) {
    event.request = i;
    router.apply(event);
    router.apply(AttemptEnded{i, 1, AttemptOutcome::kBroken, 0});
  }
  event.request = 503;
  const auto effects = router.apply(event);
  CHECK(status_of(effects) == 503);
  CHECK(effects_of<StartAttempt>(effects).empty());
}

TEST_CASE("the log names the endpoint and the prompt of a broken response",
          "[routing]") {
  RouterHarness router;
  RequestArrived event;
  event.request = 500;
  event.caller_request = stream_request();
  event.caller_request.id = "id-1";
  event.caller_request.fingerprint = 0xf1;
  event.caller_request.prompt_parts = {0xa, 0xbc};
  router.answer_placements(router.apply(event));
  const std::string endpoint = router.last_attempt(500).endpoint;
  router.apply(StreamOpened{500, 1});
  router.apply(StreamEventReceived{500, 1, 0});
  router.advance(70);
  const auto effects =
      router.apply(AttemptEnded{500, 1, AttemptOutcome::kBroken, 200});
  const auto recorded = effects_of<RecordDecision>(effects);
  REQUIRE_FALSE(recorded.empty());
  CHECK(fields_of(recorded[0]) ==
        std::map<std::string, std::string>{{"decision", "response_broken"},
                                           {"id", "id-1"},
                                           {"endpoint", endpoint},
                                           {"fingerprint", "f1"},
                                           {"prompt_parts", "a,bc"},
                                           {"events", "1"},
                                           {"generated_ms", "70"}});
}

TEST_CASE("endpoint crashes reported by peers are counted", "[routing]") {
  RouterHarness router;
  PeerReportReceived report;
  report.peer = "vm-2";
  report.suspects = {{77, 3}};
  router.apply(report);
  RequestArrived event;
  event.request = 500;
  event.caller_request.host = "example.test";
  event.caller_request.path = "/entry/1";
  event.caller_request.api_key = "key-1";
  event.caller_request.fingerprint = 77;
  CHECK(status_of(router.apply(event)) == 503);
}

TEST_CASE("streams wait for capacity and then go to the least loaded endpoint",
          "[routing]") {
  RouterHarness router;
  PeerReportReceived report = full_engines_report();
  router.apply(report);
  const auto request = router.send_request("/stream/1");
  CHECK(router.last_attempt(request).attempt == 0);
  report.endpoint_usage = {{"e1", 8, 33000}, {"e2", 8, 33000}, {"e3", 1, 1000}};
  router.apply(report);
  router.answer_placements(router.advance(80));
  CHECK(router.last_attempt(request).endpoint == "e3");
}

TEST_CASE("streams wait only as long as their first-byte objective allows",
          "[routing]") {
  RouterHarness router;
  router.apply(full_engines_report());
  const auto request = router.send_request("/stream/1");
  router.answer_placements(router.advance(3500));
  CHECK(router.last_attempt(request).attempt == 0);
  router.answer_placements(router.advance(11000));
  CHECK(router.last_attempt(request).attempt == 1);
}

TEST_CASE("a request is placed by the local view if the coordinator is silent",
          "[routing]") {
  RouterHarness router;
  const auto request = router.send_request_unplaced("/stream/1");
  CHECK(router.last_attempt(request).attempt == 0);
  router.advance(60);
  router.advance(100);
  CHECK(router.last_attempt(request).attempt == 1);
}

// Most callers come back only once, so they are sent back at a time at which a
// process that has just started has usually read its manifest.
TEST_CASE("callers of a process without a manifest come back after a second",
          "[routing]") {
  RoutingState state =
      initial_routing_state({"vm-1", "a", RetryBudgetLimits()});
  RoutingEvent event;
  event.at = 1000;
  for (event.random = 0; event.random < 2000; event.random += 100) {
    event.body = RequestArrived{};
    const RoutingStep step = reduce(state, event);
    const auto responses = effects_of<SendLocalResponse>(step.effects);
    REQUIRE(responses.size() == 1);
    CHECK(responses[0].status == 503);
    CHECK(responses[0].retry_after >= 800);
    CHECK(responses[0].retry_after < 1200);
  }
}

// The coordinator may have died with the request in its queue.
TEST_CASE("a request without a local place asks a silent coordinator again",
          "[routing]") {
  RouterHarness router;
  router.apply(full_engines_report());
  router.send_request_unplaced("/stream/1");
  std::size_t requests = 0;
  for (int i = 0; i < 25; ++i)
    requests += effects_of<RequestPlacement>(router.advance(40)).size();
  CHECK(requests >= 3);
}

TEST_CASE("granted capacity stays reserved until the peer's report shows it",
          "[routing]") {
  RouterHarness router;
  PlacementRequirements requirements;
  requirements.service = "engines";
  requirements.projected_tokens = 20000;
  requirements.zone = "a";
  requirements.rank = 2;
  std::set<std::string> placed_on;
  for (int i = 0; i < 3; ++i) {
    const auto answers = effects_of<AnswerPlacement>(
        router.apply(PlacementRequested{"vm-2", 1, requirements}));
    REQUIRE(answers.size() == 1);
    placed_on.insert(answers[0].endpoint);
  }
  CHECK(placed_on == std::set<std::string>{"e1", "e2", "e3"});
  const auto without_capacity = effects_of<AnswerPlacement>(
      router.apply(PlacementRequested{"vm-2", 1, requirements}));
  CHECK(without_capacity.at(0).endpoint.empty());
  router.advance(kSecond);
  const auto after_expiry = effects_of<AnswerPlacement>(
      router.apply(PlacementRequested{"vm-2", 1, requirements}));
  CHECK_FALSE(after_expiry.at(0).endpoint.empty());
}

TEST_CASE("transport failures reported by peers divert requests", "[routing]") {
  RouterHarness router;
  PeerReportReceived report;
  report.peer = "vm-2";
  report.endpoint_usage = {{"p1", 1, 0, 0, 0, 2.0}};
  router.apply(report);
  for (int i = 0; i < 5; ++i) {
    CHECK(router.last_attempt(router.send_request("/entry/1")).endpoint ==
          "p2");
  }
}

TEST_CASE("a generation that exceeds its hint reserves more memory",
          "[routing]") {
  RouterHarness router;
  const auto request = router.send_request("/stream/1");
  router.apply(StreamOpened{request, 1});
  const auto projected_before =
      router.state.requests.at(request).projected_tokens;
  for (int i = 0; i < 230; ++i) {
    router.apply(StreamEventReceived{request, 1, i});
  }
  const RequestState& state = router.state.requests.at(request);
  CHECK(state.projected_tokens > projected_before);
  CHECK(router.state.endpoints.at(state.endpoint).own_usage.projected_tokens ==
        state.projected_tokens);
}

TEST_CASE("the reports of lost peers are discarded", "[routing]") {
  RouterHarness router;
  PeerReportReceived report;
  report.peer = "vm-2";
  report.endpoint_usage = {{"e1", 8, 33000}};
  router.apply(report);
  CHECK(router.state.endpoints.at("e1").peer_usage.projected_tokens == 33000);
  router.apply(PeerLost{"vm-2"});
  CHECK(router.state.endpoints.at("e1").peer_usage.projected_tokens == 0);
}

TEST_CASE("the failure rate of an endpoint rises with failures and decays",
          "[routing]") {
  EndpointState endpoint;
  for (int i = 0; i < 10; ++i) record_answer(endpoint, true, 1000);
  CHECK(failure_rate_at(endpoint, 1000) > 0.9);
  CHECK(failure_rate_at(endpoint, 1000 + 20 * kSecond) < 0.1);
}

}  // namespace
}  // namespace peridotreach
