// Tests of availability zones that operators close and open again.

#include "libperidotreach/routing/closed_zones.h"

#include <catch2/catch.hpp>

#include "tests/routing/router_harness.h"

namespace peridotreach {
namespace {

using samples::effects_of;
using samples::RouterHarness;
using samples::sample_endpoint;

// Returns a router in zone a with the engine f1 and the plain endpoint q1 in
// zone b.
RouterHarness two_zone_router() {
  RouterHarness router;
  router.apply(EndpointListed{sample_endpoint("f1", "engines", "b")});
  router.apply(EndpointListed{sample_endpoint("q1", "plain", "b")});
  return router;
}

// Returns the same in a fleet whose zones have a placement coordinator each.
RouterHarness large_fleet_router() {
  RouterHarness router = two_zone_router();
  PeerReportReceived report;
  report.peer = "zone/b";
  report.processes = 60;
  router.apply(report);
  return router;
}

std::vector<RoutingEffect> close_zone(RouterHarness& router,
                                      const std::string& zone,
                                      StoreRevision revision = {1, 5}) {
  return router.apply(ZoneClosed{zone, revision, "store"});
}

std::string endpoint_of(RouterHarness& router, const std::string& path) {
  return router.last_attempt(router.send_request(path)).endpoint;
}

TEST_CASE("endpoints of a closed zone get no new requests", "[zones]") {
  RouterHarness router = two_zone_router();
  REQUIRE(endpoint_of(router, "/entry/1").front() == 'p');
  close_zone(router, "a");
  for (int i = 0; i < 6; ++i) {
    CHECK(endpoint_of(router, "/entry/1") == "q1");
    CHECK(endpoint_of(router, "/lookup/1") == "q1");
    CHECK(endpoint_of(router, "/stream/1") == "f1");
  }
  router.apply(ZoneOpened{"a", {1, 6}, "store"});
  for (int i = 0; i < 6; ++i) CHECK(endpoint_of(router, "/entry/1") != "q1");
}

TEST_CASE("an endpoint that is listed in a closed zone gets nothing",
          "[zones]") {
  RouterHarness router = two_zone_router();
  close_zone(router, "b");
  router.apply(EndpointListed{sample_endpoint("q1", "plain", "b")});
  router.apply(EndpointListed{sample_endpoint("q2", "plain", "b")});
  router.apply(EndpointUnlisted{"p1"});
  router.apply(EndpointUnlisted{"p2"});
  const auto request = router.send_request("/entry/1");
  const auto answers = effects_of<SendLocalResponse>(router.effects);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].request == request);
  CHECK(answers[0].status == 503);
}

TEST_CASE("a retry does not go to a zone that was closed meanwhile",
          "[zones]") {
  RouterHarness router = two_zone_router();
  const auto request = router.send_request("/lookup/1");
  REQUIRE(router.last_attempt(request).endpoint.front() == 'p');
  close_zone(router, "a");
  router.apply(AttemptEnded{request, 1, AttemptOutcome::kNotSent, 0});
  CHECK(router.last_attempt(request).endpoint == "q1");
}

TEST_CASE("a placement that was granted before the closing is not used",
          "[zones]") {
  RouterHarness router = two_zone_router();
  const auto request = router.send_request_unplaced("/stream/1");
  close_zone(router, "a");
  router.apply(PlacementAnswered{request, "e1"});
  const auto effects = router.advance(20);
  REQUIRE_FALSE(effects_of<RequestPlacement>(effects).empty());
  router.answer_placements(effects);
  CHECK(router.last_attempt(request).endpoint == "f1");
}

TEST_CASE("a permit for an endpoint of a closed zone is not used", "[zones]") {
  RouterHarness router = two_zone_router();
  EndpointNotice limited;
  limited.requests_per_second = 2;
  for (const char* id : {"p1", "p2"})
    router.apply(EndpointAnswered{id, limited});
  router.apply(EndpointUnlisted{"q1"});
  const auto request = router.send_request("/entry/1");
  const auto wanted = effects_of<RequestPermits>(router.effects);
  REQUIRE(wanted.size() == 1);
  close_zone(router, "a");
  router.apply(EndpointListed{sample_endpoint("q1", "plain", "b")});
  router.apply(
      PermitsAnswered{wanted[0].endpoint, {1, 0}, wanted[0].requested_at});
  CHECK(router.last_attempt(request).endpoint == "q1");
}

TEST_CASE("a generation in a closed zone runs on", "[zones]") {
  RouterHarness router = two_zone_router();
  const auto request = router.send_request("/stream/1");
  router.apply(StreamOpened{request, 1});
  router.apply(StreamEventReceived{request, 1, 0});
  const auto effects = close_zone(router, "a");
  CHECK(effects_of<CancelAttempt>(effects).empty());
  CHECK(effects_of<AbortResponse>(effects).empty());
  CHECK(effects_of<AbortResponse>(router.advance(5000)).empty());
  CHECK(effects_of<FinishStream>(
            router.apply(
                AttemptEnded{request, 1, AttemptOutcome::kStreamEnded, 200}))
            .size() == 1);
}

TEST_CASE("requests queued in a closed cell ask an open one at once",
          "[zones]") {
  RouterHarness router = large_fleet_router();
  const auto request = router.send_request_unplaced("/stream/1");
  const auto effects = close_zone(router, "a");
  const auto asked = effects_of<RequestPlacement>(effects);
  REQUIRE(asked.size() == 1);
  CHECK(asked[0].request == request);
  CHECK(asked[0].cell_zone == "b");
  router.apply(ZoneOpened{"a", {1, 6}, "store"});
  const auto later = effects_of<RequestPlacement>(router.advance(260));
  REQUIRE(later.size() == 1);
  CHECK(later[0].cell_zone.empty());
}

TEST_CASE("a process of an open zone keeps its cell", "[zones]") {
  RouterHarness router = large_fleet_router();
  close_zone(router, "b");
  router.send_request_unplaced("/stream/1");
  const auto asked = effects_of<RequestPlacement>(router.effects);
  REQUIRE(asked.size() == 1);
  CHECK(asked[0].cell_zone.empty());
}

// Answers the load of a closed cell whose processes learn of the closing one
// after the other: what it cannot serve is passed on and not rejected.
TEST_CASE("the coordinator of a closed zone passes requests on", "[zones]") {
  RouterHarness router = large_fleet_router();
  close_zone(router, "a");
  PlacementRequirements requirements;
  requirements.service = "engines";
  requirements.projected_tokens = 2000;
  requirements.prefill_tokens = 1000;
  requirements.rank = 2;
  requirements.zone = "a";
  requirements.wait_left = 5000;
  for (int i = 0; i < 10; ++i) {
    const auto effects =
        router.apply(PlacementRequested{"vm-2", 7, requirements, ""});
    for (const auto& answer : effects_of<AnswerPlacement>(effects)) {
      CHECK(answer.endpoint.empty());
      CHECK(answer.retry_after == 0);
    }
    const auto forwards = effects_of<ForwardPlacement>(effects);
    REQUIRE(forwards.size() == 1);
    CHECK(forwards[0].zone == "b");
    router.now += 250;
  }
}

TEST_CASE("a closing that a restored store lacks may be written again",
          "[zones]") {
  RouterHarness router = two_zone_router();
  close_zone(router, "a", {1, 5});
  router.apply(ZoneOpened{"a", {2, 3}, "store"});
  router.advance(1000);
  CHECK(endpoint_of(router, "/entry/1") == "q1");
  SECTION("written again") {
    close_zone(router, "a", {2, 4});
    router.advance(5000);
    CHECK(endpoint_of(router, "/entry/1") == "q1");
    router.apply(ZoneOpened{"a", {2, 6}, "store"});
    CHECK(router.state.closed_zones.empty());
  }
  SECTION("not written again") {
    router.advance(1000);
    CHECK(router.state.closed_zones.empty());
    CHECK(endpoint_of(router, "/entry/1") != "q1");
  }
}

TEST_CASE("a zone is closed again right after it was opened", "[zones]") {
  RouterHarness router = two_zone_router();
  close_zone(router, "a", {1, 5});
  router.apply(ZoneOpened{"a", {1, 6}, "store"});
  close_zone(router, "a", {1, 7});
  router.advance(5000);
  CHECK(endpoint_of(router, "/entry/1") == "q1");
}

TEST_CASE("nothing is asked of another cell while no zone is closed",
          "[zones]") {
  RouterHarness router = large_fleet_router();
  router.send_request_unplaced("/stream/1");
  const auto asked = effects_of<RequestPlacement>(router.effects);
  REQUIRE(asked.size() == 1);
  CHECK(asked[0].cell_zone.empty());
}

}  // namespace
}  // namespace peridotreach
