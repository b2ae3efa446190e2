// Tests of generations that go on elsewhere.

#include <catch2/catch.hpp>

#include "libperidotreach/routing/copy_leases.h"
#include "tests/routing/router_harness.h"

namespace peridotreach {
namespace {

using samples::effects_of;
using samples::RouterHarness;

// A stream that has delivered `events` events.
std::uint64_t running_stream(RouterHarness& router, int events) {
  const auto request = router.send_request("/stream/1");
  router.apply(StreamOpened{request, 1});
  for (int i = 0; i < events; ++i) {
    router.now += 40;
    router.apply(StreamEventReceived{request, 1, i});
  }
  return request;
}

std::vector<RoutingEffect> give_notice(RouterHarness& router,
                                       const std::string& id) {
  EndpointEntry entry = samples::sample_endpoint(id, "engines");
  entry.leaving = true;
  return router.apply(EndpointListed{entry});
}

CopyFinished copied(std::uint64_t request, std::int64_t events) {
  CopyFinished answer;
  answer.request = request;
  answer.status = 200;
  answer.handle = "h-1";
  answer.events_made = events;
  return answer;
}

TEST_CASE("a generation moves off an endpoint that leaves", "[moves]") {
  RouterHarness router;
  const auto request = running_stream(router, 10);
  const std::string source = router.last_attempt(request).endpoint;
  const auto asked = effects_of<RequestCopyLease>(give_notice(router, source));
  REQUIRE(asked.size() == 1);
  CHECK(asked[0].endpoint == source);

  auto copies = effects_of<CopyGeneration>(router.answer_placements(
      router.apply(CopyLeaseGranted{request, source})));
  REQUIRE(copies.size() == 1);
  CHECK_FALSE(copies[0].stop_source);
  copies = effects_of<CopyGeneration>(router.apply(copied(request, 11)));
  REQUIRE(copies.size() == 1);
  CHECK(copies[0].stop_source);

  CHECK(effects_of<StartAttempt>(router.apply(copied(request, 12))).empty());
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

// A stream that goes on at a target, its second attempt.
std::uint64_t moved_stream(RouterHarness& router, std::string& source) {
  const auto request = running_stream(router, 10);
  source = router.last_attempt(request).endpoint;
  give_notice(router, source);
  router.answer_placements(router.apply(CopyLeaseGranted{request, source}));
  router.apply(copied(request, 9));
  router.apply(copied(request, 9));
  router.apply(AttemptEnded{request, 1, AttemptOutcome::kBroken, 200});
  REQUIRE(router.last_attempt(request).attempt == 2);
  return request;
}

TEST_CASE("a target that cannot be reached never makes a second run",
          "[moves]") {
  RouterHarness router;
  std::string source;
  const auto request = moved_stream(router, source);
  const AttemptOutcome end =
      GENERATE(AttemptOutcome::kNotSent, AttemptOutcome::kNotRun);
  const auto back = effects_of<StartAttempt>(
      router.apply(AttemptEnded{request, 2, end, 503}));
  REQUIRE(back.size() == 1);
  CHECK(back[0].endpoint == source);
  CHECK(back[0].source.handle == "h-1");
  CHECK(back[0].source.last_event_id == 9);
  const auto lost = router.apply(AttemptEnded{request, 3, end, 503});
  CHECK(effects_of<StartAttempt>(lost).empty());
  CHECK(effects_of<AbortResponse>(lost).size() == 1);
}

TEST_CASE("a target without room is not asked again", "[moves]") {
  RouterHarness router;
  const auto request = running_stream(router, 10);
  const std::string source = router.last_attempt(request).endpoint;
  give_notice(router, source);
  const auto first = effects_of<CopyGeneration>(router.answer_placements(
      router.apply(CopyLeaseGranted{request, source})));
  REQUIRE(first.size() == 1);
  const std::string target = router.state.requests.at(request).move.target;
  CopyFinished full;
  full.request = request;
  full.status = 503;
  router.answer_placements(router.apply(full));
  CHECK(router.state.requests.at(request).move.target != target);
  CHECK(router.state.endpoints.at(target).own_usage.projected_tokens == 0);
  CHECK(router.state.endpoints.at(target).own_usage.incoming_copies == 0);
}

TEST_CASE("a generation stays where it is expected to end in time", "[moves]") {
  RouterHarness router;
  const auto request = running_stream(router, 190);
  const std::string source = router.last_attempt(request).endpoint;
  CHECK(effects_of<RequestCopyLease>(give_notice(router, source)).empty());
  router.now += 600;
  for (int i = 190; i < 201; ++i) {
    router.apply(StreamEventReceived{request, 1, i});
  }
  CHECK(effects_of<RequestCopyLease>(router.advance(40)).size() == 1);
}

TEST_CASE("a generation copies without a turn if its keeper is silent",
          "[moves]") {
  RouterHarness router;
  const auto request = running_stream(router, 10);
  const std::string source = router.last_attempt(request).endpoint;
  give_notice(router, source);
  CHECK(effects_of<CopyGeneration>(router.advance(100)).empty());
  CHECK(
      effects_of<CopyGeneration>(router.answer_placements(router.advance(150)))
          .size() == 1);
  CHECK(router.state.requests.at(request).endpoint == source);
}

TEST_CASE("a stream that ends while it is copied is complete", "[moves]") {
  RouterHarness router;
  const auto request = running_stream(router, 10);
  const std::string source = router.last_attempt(request).endpoint;
  give_notice(router, source);
  router.answer_placements(router.apply(CopyLeaseGranted{request, source}));
  const auto effects =
      router.apply(AttemptEnded{request, 1, AttemptOutcome::kStreamEnded, 200});
  CHECK(effects_of<FinishStream>(effects).size() == 1);
  CHECK(effects_of<ReleaseCopyLease>(effects).size() == 1);
}

TEST_CASE("a copy whose generation was lost ends the stream honestly",
          "[moves]") {
  RouterHarness router;
  const auto request = running_stream(router, 10);
  const std::string source = router.last_attempt(request).endpoint;
  give_notice(router, source);
  router.answer_placements(router.apply(CopyLeaseGranted{request, source}));
  router.apply(copied(request, 11));
  router.apply(AttemptEnded{request, 1, AttemptOutcome::kBroken, 200});
  CopyFinished lost;
  lost.request = request;
  const auto effects = router.apply(lost);
  CHECK(effects_of<AbortResponse>(effects).size() == 1);
  CHECK(effects_of<FinishStream>(effects).empty());
}

TEST_CASE("freed room goes to a move before new work", "[moves]") {
  RouterHarness router;
  PlacementRequirements need;
  need.service = "engines";
  need.projected_tokens = 3000;
  need.rank = 2;
  const auto grant = [&](std::uint64_t request,
                         const PlacementRequirements& asked) {
    const auto answers = effects_of<AnswerPlacement>(
        router.apply(PlacementRequested{"vm-2", request, asked}));
    REQUIRE(answers.size() == 1);
    return answers[0].endpoint;
  };
  PlacementRequirements move = need;
  move.is_move = true;
  move.excluded_endpoints = {"e1", "e2", "e3"};
  CHECK(grant(1, move).empty());
  CHECK(grant(2, need).empty());
  PlacementRequirements urgent = need;
  urgent.rank = 0;
  CHECK_FALSE(grant(3, urgent).empty());
  PlacementRequirements brief = need;
  brief.prefill_tokens = 2990;
  CHECK_FALSE(grant(4, brief).empty());
  move.excluded_endpoints = {"e1"};
  CHECK_FALSE(grant(1, move).empty());
  CHECK_FALSE(grant(2, need).empty());
  move.excluded_endpoints = {"e1", "e2", "e3"};
  CHECK(grant(1, move).empty());
  router.advance(400);
  CHECK_FALSE(grant(2, need).empty());
}

TEST_CASE("each move of a generation counts, each try of it once", "[moves]") {
  RouterHarness router;
  PlacementRequirements move;
  move.service = "engines";
  move.projected_tokens = 3000;
  move.is_move = true;
  move.excluded_endpoints = {"e1"};
  const auto counted = [&](const PlacementRequirements& asked) {
    router.apply(PlacementRequested{"vm-2", 1, asked});
    return router.state.retry_budgets["engines"].retries.size();
  };
  CHECK(counted(move) == 1);
  move.excluded_endpoints = {"e2", "e1"};
  CHECK(counted(move) == 1);
  move.excluded_endpoints = {"e2"};
  CHECK(counted(move) == 2);
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
  give_notice(router, source);
  const auto withheld =
      router.answer_placements(router.apply(CopyLeaseGranted{request, source}));
  CHECK(effects_of<CopyGeneration>(withheld).empty());
  CHECK(effects_of<ReleaseCopyLease>(withheld).size() == 1);

  peer.retry_counts = {{"engines", 0, 0}};
  router.apply(peer);
  CHECK(effects_of<RequestCopyLease>(router.advance(100)).size() == 1);
  CHECK(effects_of<CopyGeneration>(router.answer_placements(router.apply(
                                       CopyLeaseGranted{request, source})))
            .size() == 1);
  CHECK(router.state.retry_budgets["engines"].retries.size() == 1);
}

TEST_CASE("turns go round in order and lapse", "[moves]") {
  CopyLeaseTable book;
  const CopyRequester first{"vm-1", 1};
  const CopyRequester second{"vm-2", 1};
  CHECK(request_copy_lease(book, "e1", first, 1000));
  CHECK(request_copy_lease(book, "e1", first, 1000));
  CHECK_FALSE(request_copy_lease(book, "e1", second, 1000));
  CHECK(request_copy_lease(book, "e2", second, 1000));
  const auto next = release_copy_lease(book, "e1", first, 1100);
  REQUIRE(next.has_value());
  CHECK(next->holder == second);
  CHECK_FALSE(request_copy_lease(book, "e1", first, 1200));
  const auto lapsed = expire_copy_leases(book, 3000);
  REQUIRE(lapsed.size() == 1);
  CHECK(lapsed[0].holder == first);
  CHECK_FALSE(release_copy_lease(book, "e1", first, 3100).has_value());
}

}  // namespace
}  // namespace peridotreach
