// Tests of moving running generations to another endpoint.

#include <catch2/catch.hpp>
#include <set>

#include "libperidotreach/routing/copy_leases.h"
#include "tests/routing/router_harness.h"

namespace peridotreach {
namespace {

using samples::effects_of;
using samples::RouterHarness;
using samples::sample_endpoint;

// Returns a stream that has delivered `events` events.
std::uint64_t running_stream(RouterHarness& router, int events) {
  const auto request = router.send_request("/stream/1");
  router.apply(StreamOpened{request, 1});
  for (int i = 0; i < events; ++i) {
    router.now += 40;
    router.apply(StreamEventReceived{request, 1, i});
  }
  return request;
}

std::vector<RoutingEffect> announce_leaving(RouterHarness& router,
                                            const std::string& id) {
  EndpointEntry entry = samples::sample_endpoint(id, "engines");
  entry.leaving = true;
  return router.apply(EndpointListed{entry});
}

CopyFinished copy_finished(std::uint64_t request, std::int64_t events) {
  CopyFinished answer;
  answer.request = request;
  answer.status = 200;
  answer.handle = "h-1";
  answer.events_made = events;
  return answer;
}

TEST_CASE("a generation moves off a leaving endpoint", "[moves]") {
  RouterHarness router;
  const auto request = running_stream(router, 10);
  const std::string source = router.last_attempt(request).endpoint;
  const auto requested =
      effects_of<RequestCopyLease>(announce_leaving(router, source));
  REQUIRE(requested.size() == 1);
  CHECK(requested[0].endpoint == source);

  auto copies = effects_of<CopyGeneration>(router.answer_placements(
      router.apply(CopyLeaseGranted{request, source})));
  REQUIRE(copies.size() == 1);
  CHECK_FALSE(copies[0].stop_source);
  copies = effects_of<CopyGeneration>(router.apply(copy_finished(request, 11)));
  REQUIRE(copies.size() == 1);
  CHECK(copies[0].stop_source);

  CHECK(effects_of<StartAttempt>(router.apply(copy_finished(request, 12)))
            .empty());
  router.apply(StreamEventReceived{request, 1, 10});
  router.apply(StreamEventReceived{request, 1, 11});
  const auto effects =
      router.apply(AttemptEnded{request, 1, AttemptOutcome::kBroken, 200});
  const auto starts = effects_of<StartAttempt>(effects);
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].endpoint != source);
  CHECK(starts[0].source.handle == "h-1");
  CHECK(starts[0].source.last_event_id == 11);
  CHECK(effects_of<ReleaseCopyLease>(effects).size() == 1);
  CHECK(effects_of<AbortResponse>(router.effects).empty());
}

// Returns a stream that runs at the target of its move, as its second attempt.
std::uint64_t moved_stream(RouterHarness& router, std::string& source) {
  const auto request = running_stream(router, 10);
  source = router.last_attempt(request).endpoint;
  announce_leaving(router, source);
  router.answer_placements(router.apply(CopyLeaseGranted{request, source}));
  router.apply(copy_finished(request, 9));
  router.apply(copy_finished(request, 9));
  router.apply(AttemptEnded{request, 1, AttemptOutcome::kBroken, 200});
  REQUIRE(router.last_attempt(request).attempt == 2);
  return request;
}

TEST_CASE("an unreachable move target never restarts the generation",
          "[moves]") {
  RouterHarness router;
  std::string source;
  const auto request = moved_stream(router, source);
  const AttemptOutcome outcome =
      GENERATE(AttemptOutcome::kNotSent, AttemptOutcome::kNotRun);
  const auto resumed = effects_of<StartAttempt>(
      router.apply(AttemptEnded{request, 2, outcome, 503}));
  REQUIRE(resumed.size() == 1);
  CHECK(resumed[0].endpoint == source);
  CHECK(resumed[0].source.handle == "h-1");
  CHECK(resumed[0].source.last_event_id == 9);
  const auto aborted = router.apply(AttemptEnded{request, 3, outcome, 503});
  CHECK(effects_of<StartAttempt>(aborted).empty());
  CHECK(effects_of<AbortResponse>(aborted).size() == 1);
}

TEST_CASE("a move target without capacity is not asked again", "[moves]") {
  RouterHarness router;
  const auto request = running_stream(router, 10);
  const std::string source = router.last_attempt(request).endpoint;
  announce_leaving(router, source);
  const auto copies = effects_of<CopyGeneration>(router.answer_placements(
      router.apply(CopyLeaseGranted{request, source})));
  REQUIRE(copies.size() == 1);
  const std::string target = router.state.requests.at(request).move.target;
  CopyFinished full;
  full.request = request;
  full.status = 503;
  router.answer_placements(router.apply(full));
  CHECK(router.state.requests.at(request).move.target != target);
  CHECK(router.state.endpoints.at(target).own_usage.projected_tokens == 0);
  CHECK(router.state.endpoints.at(target).own_usage.incoming_copies == 0);
}

TEST_CASE("a generation that is expected to end in time is not moved",
          "[moves]") {
  RouterHarness router;
  const auto request = running_stream(router, 190);
  const std::string source = router.last_attempt(request).endpoint;
  CHECK(effects_of<RequestCopyLease>(announce_leaving(router, source)).empty());
  router.now += 600;
  for (int i = 190; i < 201; ++i) {
    router.apply(StreamEventReceived{request, 1, i});
  }
  CHECK(effects_of<RequestCopyLease>(router.advance(40)).size() == 1);
}

TEST_CASE("a generation is copied without a lease if its coordinator is silent",
          "[moves]") {
  RouterHarness router;
  const auto request = running_stream(router, 10);
  const std::string source = router.last_attempt(request).endpoint;
  announce_leaving(router, source);
  CHECK(effects_of<CopyGeneration>(router.advance(100)).empty());
  CHECK(
      effects_of<CopyGeneration>(router.answer_placements(router.advance(150)))
          .size() == 1);
  CHECK(router.state.requests.at(request).endpoint == source);
}

TEST_CASE("a stream that ends during its copy is complete", "[moves]") {
  RouterHarness router;
  const auto request = running_stream(router, 10);
  const std::string source = router.last_attempt(request).endpoint;
  announce_leaving(router, source);
  router.answer_placements(router.apply(CopyLeaseGranted{request, source}));
  const auto effects =
      router.apply(AttemptEnded{request, 1, AttemptOutcome::kStreamEnded, 200});
  CHECK(effects_of<FinishStream>(effects).size() == 1);
  CHECK(effects_of<ReleaseCopyLease>(effects).size() == 1);
}

// A stream with neither a length nor chunks ends alike when the endpoint stops
// its generation; it was taken for complete after a part of its events.
TEST_CASE("a stream that was ordered to stop is moved, not complete",
          "[moves]") {
  RouterHarness router;
  const auto request = running_stream(router, 10);
  const std::string source = router.last_attempt(request).endpoint;
  announce_leaving(router, source);
  router.answer_placements(router.apply(CopyLeaseGranted{request, source}));
  router.apply(copy_finished(request, 9));
  AttemptEnded ended{request, 1, AttemptOutcome::kStreamEnded, 200};
  ended.end.ends_with_connection = true;
  ended.end.is_stream = ended.end.has_event = true;
  CHECK(effects_of<FinishStream>(router.apply(ended)).empty());

  SECTION("the endpoint stopped it") {
    const auto starts =
        effects_of<StartAttempt>(router.apply(copy_finished(request, 9)));
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].source.last_event_id == 9);
    ended.attempt = 2;
    CHECK(effects_of<FinishStream>(router.apply(ended)).size() == 1);
  }
  SECTION("the generation had ended before the order") {
    CopyFinished unknown;
    unknown.request = request;
    unknown.status = 404;
    CHECK(effects_of<FinishStream>(router.apply(unknown)).size() == 1);
  }
  SECTION("the order was not answered") {
    CopyFinished silent;
    silent.request = request;
    const auto effects = router.apply(silent);
    CHECK(effects_of<FinishStream>(effects).empty());
    CHECK(effects_of<AbortResponse>(effects).size() == 1);
  }
}

// The endpoint may carry out an order to which it never answered.
TEST_CASE("an order to stop counts until the endpoint has refused it",
          "[moves]") {
  RouterHarness router;
  const auto request = running_stream(router, 10);
  const std::string source = router.last_attempt(request).endpoint;
  announce_leaving(router, source);
  router.answer_placements(router.apply(CopyLeaseGranted{request, source}));
  router.apply(copy_finished(request, 9));
  CopyFinished failed;
  failed.request = request;
  failed.status = GENERATE(0u, 409u);
  router.apply(failed);
  AttemptEnded ended{request, 1, AttemptOutcome::kStreamEnded, 200};
  ended.end.ends_with_connection = true;
  ended.end.is_stream = ended.end.has_event = true;
  const auto finished = effects_of<FinishStream>(router.apply(ended));
  CHECK(finished.size() == (failed.status == 0 ? 0 : 1));
}

TEST_CASE("a stream is aborted if its source and its copy are lost",
          "[moves]") {
  RouterHarness router;
  const auto request = running_stream(router, 10);
  const std::string source = router.last_attempt(request).endpoint;
  announce_leaving(router, source);
  router.answer_placements(router.apply(CopyLeaseGranted{request, source}));
  router.apply(copy_finished(request, 11));
  router.apply(AttemptEnded{request, 1, AttemptOutcome::kBroken, 200});
  CopyFinished failed_copy;
  failed_copy.request = request;
  const auto effects = router.apply(failed_copy);
  CHECK(effects_of<AbortResponse>(effects).size() == 1);
  CHECK(effects_of<FinishStream>(effects).empty());
}

TEST_CASE("freed capacity goes to moves before new requests", "[moves]") {
  RouterHarness router;
  PlacementRequirements requirements;
  requirements.service = "engines";
  requirements.projected_tokens = 3000;
  requirements.rank = 2;
  const auto place = [&](std::uint64_t request,
                         const PlacementRequirements& requested) {
    const auto answers = effects_of<AnswerPlacement>(
        router.apply(PlacementRequested{"vm-2", request, requested}));
    REQUIRE(answers.size() == 1);
    return answers[0].endpoint;
  };
  PlacementRequirements move = requirements;
  move.is_move = true;
  move.excluded_endpoints = {"e1", "e2", "e3"};
  CHECK(place(1, move).empty());
  CHECK(place(2, requirements).empty());
  PlacementRequirements urgent = requirements;
  urgent.rank = 0;
  CHECK_FALSE(place(3, urgent).empty());
  PlacementRequirements short_request = requirements;
  short_request.prefill_tokens = 2990;
  CHECK_FALSE(place(4, short_request).empty());
  move.excluded_endpoints = {"e1"};
  CHECK_FALSE(place(1, move).empty());
  CHECK_FALSE(place(2, requirements).empty());
  move.excluded_endpoints = {"e1", "e2", "e3"};
  CHECK(place(1, move).empty());
  router.advance(400);
  CHECK_FALSE(place(2, requirements).empty());
}

TEST_CASE("a generation moves to an engine that has asked for a pause",
          "[moves]") {
  RouterHarness router;
  const auto request = running_stream(router, 10);
  const std::string source = router.last_attempt(request).endpoint;
  announce_leaving(router, source);
  router.apply(CopyLeaseGranted{request, source});
  const std::string target = source == "e1" ? "e2" : "e1";
  const EndpointNotice pause{std::nullopt, false, 5000};
  SECTION("the pause came before the target was chosen") {
    router.apply(EndpointAnswered{target, pause});
    CHECK(effects_of<CopyGeneration>(
              router.apply(PlacementAnswered{request, target, 0}))
              .empty());
  }
  SECTION("the pause came while the generation was copied") {
    router.apply(PlacementAnswered{request, target, 0});
    router.apply(copy_finished(request, 11));
    router.apply(EndpointAnswered{target, pause});
    router.apply(copy_finished(request, 9));
    CHECK(router.last_attempt(request).attempt == 2);
    CHECK(router.last_attempt(request).endpoint == source);
  }
  SECTION("the source is gone, so that the generation would be lost") {
    router.apply(PlacementAnswered{request, target, 0});
    router.apply(copy_finished(request, 11));
    router.apply(EndpointAnswered{target, pause});
    router.apply(EndpointUnlisted{source});
    router.apply(copy_finished(request, 9));
    CHECK(router.last_attempt(request).endpoint == target);
  }
}

TEST_CASE("each move of a generation is charged once, not each attempt",
          "[moves]") {
  RouterHarness router;
  PlacementRequirements move;
  move.service = "engines";
  move.projected_tokens = 3000;
  move.is_move = true;
  move.excluded_endpoints = {"e1"};
  const auto charged_retries = [&](const PlacementRequirements& requested) {
    router.apply(PlacementRequested{"vm-2", 1, requested});
    return router.state.retry_budgets["engines"].retries.size();
  };
  CHECK(charged_retries(move) == 1);
  move.excluded_endpoints = {"e2", "e1"};
  CHECK(charged_retries(move) == 1);
  move.excluded_endpoints = {"e2"};
  CHECK(charged_retries(move) == 2);
}

TEST_CASE("a generation is not copied once the retry budget is used up",
          "[moves]") {
  RouterHarness router;
  const auto request = running_stream(router, 10);
  const std::string source = router.last_attempt(request).endpoint;
  PeerReportReceived peer;
  peer.peer = "vm-2";
  peer.retry_counts = {{"engines", 0, 1000}};
  router.apply(peer);
  announce_leaving(router, source);
  const auto withheld_effects =
      router.answer_placements(router.apply(CopyLeaseGranted{request, source}));
  CHECK(effects_of<CopyGeneration>(withheld_effects).empty());
  CHECK(effects_of<ReleaseCopyLease>(withheld_effects).size() == 1);

  peer.retry_counts = {{"engines", 0, 0}};
  router.apply(peer);
  CHECK(effects_of<RequestCopyLease>(router.advance(100)).size() == 1);
  CHECK(effects_of<CopyGeneration>(router.answer_placements(router.apply(
                                       CopyLeaseGranted{request, source})))
            .size() == 1);
  CHECK(router.state.retry_budgets["engines"].retries.size() == 1);
}

// A copy to another zone, or over a link in use, takes twice as long.
TEST_CASE("a move prefers a full engine to a slow copy", "[moves]") {
  RouterHarness router;
  router.apply(EndpointListed{sample_endpoint("e4", "engines", "b")});
  PeerReportReceived peer;
  peer.peer = "vm-3";
  peer.endpoint_usage = {EndpointUsage{"e2"}, EndpointUsage{"e3"}};
  peer.endpoint_usage[0].projected_tokens = 28000;
  peer.endpoint_usage[1].incoming_copies = 1;
  router.apply(peer);
  PlacementRequirements move;
  move.service = "engines";
  move.projected_tokens = 3000;
  move.zone = "a";
  move.is_move = true;
  move.excluded_endpoints = {"e1"};
  const auto target = [&](std::uint64_t request) {
    const auto answers = effects_of<AnswerPlacement>(
        router.apply(PlacementRequested{"vm-2", request, move}));
    REQUIRE(answers.size() == 1);
    return answers[0].endpoint;
  };
  CHECK(target(1) == "e2");
  // Without room there, the copy has to take longer.
  move.excluded_endpoints = {"e2", "e1"};
  CHECK(target(2) == "e4");
}

// Routers of other zones have generations on the engines of a zone, too.
TEST_CASE("the coordinator of the source's zone chooses the target",
          "[moves]") {
  RouterHarness router;
  for (const char* id : {"e1", "e2", "e3"}) router.apply(EndpointUnlisted{id});
  router.apply(EndpointListed{sample_endpoint("f1", "engines", "b")});
  const auto request = router.send_request("/stream/1");
  router.apply(StreamOpened{request, 1});
  router.apply(StreamEventReceived{request, 1, 0});
  router.apply(EndpointLeaving{"f1"});
  const auto asked = effects_of<RequestPlacement>(
      router.apply(CopyLeaseGranted{request, "f1"}));
  REQUIRE(asked.size() == 1);
  CHECK(asked[0].requirements.is_move);
  CHECK(asked[0].cell_zone == "b");
}

// The copies would share the target's link, so both would take twice as long.
TEST_CASE("moves at the same moment get different targets", "[moves]") {
  RouterHarness router;
  PeerReportReceived peer;
  peer.peer = "vm-3";
  peer.endpoint_usage = {EndpointUsage{"e3"}};
  peer.endpoint_usage[0].projected_tokens = 6800;
  router.apply(peer);
  PlacementRequirements move;
  move.service = "engines";
  move.projected_tokens = 3000;
  move.is_move = true;
  move.excluded_endpoints = {"e1"};
  std::set<std::string> targets;
  for (const std::uint64_t request : {1, 2}) {
    const auto answers = effects_of<AnswerPlacement>(
        router.apply(PlacementRequested{"vm-2", request, move}));
    REQUIRE(answers.size() == 1);
    targets.insert(answers[0].endpoint);
  }
  CHECK(targets == std::set<std::string>{"e2", "e3"});
}

TEST_CASE("copy leases are granted in order and expire", "[moves]") {
  CopyLeaseTable leases;
  const CopyRequester first_requester{"vm-1", 1};
  const CopyRequester second_requester{"vm-2", 1};
  CHECK(request_copy_lease(leases, "e1", first_requester, 1000));
  CHECK(request_copy_lease(leases, "e1", first_requester, 1000));
  CHECK_FALSE(request_copy_lease(leases, "e1", second_requester, 1000));
  CHECK(request_copy_lease(leases, "e2", second_requester, 1000));
  const auto next_holder =
      release_copy_lease(leases, "e1", first_requester, 1100);
  REQUIRE(next_holder.has_value());
  CHECK(next_holder->holder == second_requester);
  CHECK_FALSE(request_copy_lease(leases, "e1", first_requester, 1200));
  const auto expired = expire_copy_leases(leases, 3000);
  REQUIRE(expired.size() == 1);
  CHECK(expired[0].holder == first_requester);
  CHECK_FALSE(
      release_copy_lease(leases, "e1", first_requester, 3100).has_value());
}

}  // namespace
}  // namespace peridotreach
