// Tests of routed requests: matching, truthful refusals, retries, time-outs.

#include <catch2/catch.hpp>
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

// A stream's request that the sample manifest lets in.
CallerRequest stream_facts() {
  CallerRequest facts;
  facts.host = "example.test";
  facts.path = "/stream/1";
  facts.api_key = "key-1";
  return facts;
}

// A peer that has filled the memory of all engines.
PeerReportReceived busy_engines() {
  PeerReportReceived busy;
  busy.peer = "vm-2";
  busy.endpoint_usage = {{"e1", 8, 33000}, {"e2", 8, 33000}, {"e3", 8, 33000}};
  return busy;
}

TEST_CASE("requests without a manifest are refused as not run", "[routing]") {
  RoutingState state = initial_routing_state({});
  RoutingEvent event;
  event.body = RequestArrived{1, {}};
  const RoutingStep step = reduce(state, event);
  CHECK(status_of(step.effects) == 503);
}

TEST_CASE("unknown routes and keys are told apart", "[routing]") {
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

TEST_CASE("the longest prefix of a host wins", "[routing]") {
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

TEST_CASE("an older manifest never comes into force", "[routing]") {
  RouterHarness router;
  router.apply(ManifestReceived{samples::sample_manifest(7)});
  router.apply(ManifestReceived{samples::sample_manifest(3)});
  CHECK(router.state.manifest->version == 7);
}

TEST_CASE("a broken answer of a non-idempotent call promises nothing",
          "[routing]") {
  RouterHarness router;
  const auto request = router.send_request("/entry/1");
  const auto effects =
      router.apply(AttemptEnded{request, 1, AttemptOutcome::kBroken, 0});
  CHECK(status_of(effects) == 502);
  CHECK(effects_of<StartAttempt>(effects).empty());
}

TEST_CASE("a connection that failed lets a call go to another endpoint",
          "[routing]") {
  RouterHarness router;
  const auto request = router.send_request("/entry/1");
  const std::string first = router.last_attempt(request).endpoint;
  router.apply(AttemptEnded{request, 1, AttemptOutcome::kNotSent, 0});
  CHECK(router.last_attempt(request).attempt == 2);
  CHECK(router.last_attempt(request).endpoint != first);
}

TEST_CASE("an endpoint's refusal is passed on as not run", "[routing]") {
  RouterHarness router;
  const auto request = router.send_request("/entry/1");
  const auto effects =
      router.apply(AttemptEnded{request, 1, AttemptOutcome::kNotRun, 503});
  const auto answers = effects_of<SendLocalResponse>(effects);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].status == 503);
  CHECK(answers[0].retry_after >= 0);
}

TEST_CASE("idempotent calls are tried again within their attempts",
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

TEST_CASE("a request unanswered at its time-out ends and stops its endpoint",
          "[routing]") {
  RouterHarness router;
  const auto request = router.send_request("/entry/1");
  const auto effects = router.advance(20 * kSecond);
  CHECK(status_of(effects) == 504);
  REQUIRE(effects_of<CancelAttempt>(effects).size() == 1);
  CHECK(effects_of<CancelAttempt>(effects)[0].request == request);
}

TEST_CASE("a brief stream goes while it is in time, a long one waits",
          "[routing]") {
  RouterHarness router;
  PeerReportReceived full;
  full.peer = "vm-2";
  for (const char* id : {"e1", "e2", "e3"}) {
    full.endpoint_usage.push_back({id, 8, 40000});
  }
  router.apply(full);
  CallerRequest facts = stream_facts();
  facts.prompt_tokens = 2000;
  facts.max_output_tokens = facts.length_hint = 8;
  router.apply(RequestArrived{901, facts});
  facts.max_output_tokens = facts.length_hint = 800;
  router.apply(RequestArrived{902, facts});
  const auto hear_nothing_free = [&] {
    router.now += 60;
    router.answer_placements(router.apply(RoutingTicked{}));
    router.apply(PlacementAnswered{901, ""});
    router.apply(PlacementAnswered{902, ""});
  };
  while (router.now < 1000 + 3300) hear_nothing_free();
  CHECK(effects_of<StartAttempt>(router.effects).empty());
  while (router.now < 1000 + 3600) hear_nothing_free();
  const auto starts = effects_of<StartAttempt>(router.effects);
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].request == 901);
}

TEST_CASE("lengths that peers have seen correct a hint", "[routing]") {
  RouterHarness router;
  CallerRequest facts = stream_facts();
  facts.prompt_tokens = 100;
  facts.max_output_tokens = 1600;
  facts.length_hint = 1600;
  const auto projected = [&](std::uint64_t key) {
    router.apply(RequestArrived{key, facts});
    return router.state.requests.at(key).projected_tokens;
  };
  CHECK(projected(901) == 1700);
  PeerReportReceived peer;
  peer.peer = "vm-2";
  peer.finished_outputs = {{"stream", 4, 1600}};
  router.apply(peer);
  CHECK(projected(902) == 1700);
  peer.peer = "vm-3";
  router.apply(peer);
  CHECK(projected(903) == 100 + 1000);
  router.apply(PeerLost{"vm-3"});
  CHECK(projected(904) == 1700);
}

TEST_CASE("the endpoint stops when the caller leaves", "[routing]") {
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

TEST_CASE("endpoints that leave take no new work", "[routing]") {
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

TEST_CASE("a misdirected request ejects the stale entry", "[routing]") {
  RouterHarness router;
  const auto request = router.send_request("/lookup/1");
  const std::string stale = router.last_attempt(request).endpoint;
  router.apply(AttemptEnded{request, 1, AttemptOutcome::kMisdirected, 421});
  CHECK_FALSE(
      accepts_new_requests(router.state.endpoints.at(stale), router.state.now));
}

TEST_CASE("a request in flight at three deaths is refused", "[routing]") {
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

TEST_CASE("deaths that peers saw count as well", "[routing]") {
  RouterHarness router;
  PeerReportReceived told;
  told.peer = "vm-2";
  told.suspects = {{77, 3}};
  router.apply(told);
  RequestArrived event;
  event.request = 500;
  event.caller_request.host = "example.test";
  event.caller_request.path = "/entry/1";
  event.caller_request.api_key = "key-1";
  event.caller_request.fingerprint = 77;
  CHECK(status_of(router.apply(event)) == 503);
}

TEST_CASE("streams wait for room and then go to the endpoint with the most",
          "[routing]") {
  RouterHarness router;
  PeerReportReceived busy = busy_engines();
  router.apply(busy);
  const auto request = router.send_request("/stream/1");
  CHECK(router.last_attempt(request).attempt == 0);
  busy.endpoint_usage = {{"e1", 8, 33000}, {"e2", 8, 33000}, {"e3", 1, 1000}};
  router.apply(busy);
  router.answer_placements(router.advance(80));
  CHECK(router.last_attempt(request).endpoint == "e3");
}

TEST_CASE("streams do not wait longer than their objective allows",
          "[routing]") {
  RouterHarness router;
  router.apply(busy_engines());
  const auto request = router.send_request("/stream/1");
  router.answer_placements(router.advance(3500));
  CHECK(router.last_attempt(request).attempt == 0);
  router.answer_placements(router.advance(11000));
  CHECK(router.last_attempt(request).attempt == 1);
}

TEST_CASE("a request is placed by the own view if the keeper is silent",
          "[routing]") {
  RouterHarness router;
  const auto request = router.send_request_unplaced("/stream/1");
  CHECK(router.last_attempt(request).attempt == 0);
  router.advance(60);
  router.advance(100);
  CHECK(router.last_attempt(request).attempt == 1);
}

TEST_CASE("room that was granted counts until the other's use shows it",
          "[routing]") {
  RouterHarness router;
  PlacementRequirements need;
  need.service = "engines";
  need.projected_tokens = 20000;
  need.zone = "a";
  need.rank = 2;
  std::set<std::string> granted;
  for (int i = 0; i < 3; ++i) {
    const auto answers = effects_of<AnswerPlacement>(
        router.apply(PlacementRequested{"vm-2", 1, need}));
    REQUIRE(answers.size() == 1);
    granted.insert(answers[0].endpoint);
  }
  CHECK(granted == std::set<std::string>{"e1", "e2", "e3"});
  const auto full = effects_of<AnswerPlacement>(
      router.apply(PlacementRequested{"vm-2", 1, need}));
  CHECK(full.at(0).endpoint.empty());
  router.advance(kSecond);
  const auto again = effects_of<AnswerPlacement>(
      router.apply(PlacementRequested{"vm-2", 1, need}));
  CHECK_FALSE(again.at(0).endpoint.empty());
}

TEST_CASE("breaks that peers saw turn work away from an endpoint",
          "[routing]") {
  RouterHarness router;
  PeerReportReceived told;
  told.peer = "vm-2";
  told.endpoint_usage = {{"p1", 1, 0, 0, 0, 2.0}};
  router.apply(told);
  for (int i = 0; i < 5; ++i) {
    CHECK(router.last_attempt(router.send_request("/entry/1")).endpoint ==
          "p2");
  }
}

TEST_CASE("a generation that outlives its hint books more memory",
          "[routing]") {
  RouterHarness router;
  const auto request = router.send_request("/stream/1");
  router.apply(StreamOpened{request, 1});
  const auto before = router.state.requests.at(request).projected_tokens;
  for (int i = 0; i < 230; ++i) {
    router.apply(StreamEventReceived{request, 1, i});
  }
  const RequestState& state = router.state.requests.at(request);
  CHECK(state.projected_tokens > before);
  CHECK(router.state.endpoints.at(state.endpoint).own_usage.projected_tokens ==
        state.projected_tokens);
}

TEST_CASE("what peers told is forgotten when they are lost", "[routing]") {
  RouterHarness router;
  PeerReportReceived busy;
  busy.peer = "vm-2";
  busy.endpoint_usage = {{"e1", 8, 33000}};
  router.apply(busy);
  CHECK(router.state.endpoints.at("e1").peer_usage.projected_tokens == 33000);
  router.apply(PeerLost{"vm-2"});
  CHECK(router.state.endpoints.at("e1").peer_usage.projected_tokens == 0);
}

TEST_CASE("a failing endpoint gets less work and is tried again later",
          "[routing]") {
  EndpointState endpoint;
  for (int i = 0; i < 10; ++i) record_answer(endpoint, true, 1000);
  CHECK(failure_rate_at(endpoint, 1000) > 0.9);
  CHECK(failure_rate_at(endpoint, 1000 + 20 * kSecond) < 0.1);
}

}  // namespace
}  // namespace peridotreach
