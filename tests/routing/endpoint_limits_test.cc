// Tests of endpoints that limit the rate of their requests.

#include <catch2/catch.hpp>

#include "libperidotreach/routing/report_totals.h"
#include "libperidotreach/routing/request_permits.h"
#include "tests/routing/limit_simulation.h"
#include "tests/routing/router_harness.h"

namespace peridotreach {
namespace {

using samples::effects_of;
using samples::LimitSimulation;
using samples::RouterHarness;

// What an endpoint may get in 4 s.
std::size_t allowed_in_window(double requests_per_second) {
  return static_cast<std::size_t>(1.5 * requests_per_second * 4 + 5);
}

void name_limit(RouterHarness& router, const std::string& endpoint,
                std::optional<double> requests_per_second) {
  router.apply(EndpointAnswered{endpoint, {requests_per_second}});
}

std::vector<RoutingEffect> answer_permits(RouterHarness& router,
                                          const RequestPermits& request,
                                          PermitGrant grant) {
  return router.apply(
      PermitsAnswered{request.endpoint, grant, request.requested_at});
}

TEST_CASE("a fleet sends a limited endpoint no more than it takes",
          "[limits]") {
  const std::size_t vms = GENERATE(1, 8, 40);
  const double limit = GENERATE(0.5, 2.5, 20.0);
  CAPTURE(vms, limit);
  LimitSimulation fleet(vms, 2, limit);
  fleet.run(6000, 10 * limit);
  const Millis since = fleet.now();
  fleet.run(10000, 10 * limit);
  CHECK(fleet.most_arrivals_in_window() <= allowed_in_window(limit));
  CHECK(static_cast<double>(fleet.arrivals_since(since)) >=
        0.8 * 2 * limit * 10);
}

TEST_CASE("hundreds of processes share a limit", "[limits]") {
  LimitSimulation fleet(200, 2, 4.0);
  fleet.run(8000, 60);
  CHECK(fleet.most_arrivals_in_window() <= allowed_in_window(4.0));
  CHECK(fleet.arrivals_since(5000) >= 24);
}

TEST_CASE("a limit holds while the coordinator of its permits is lost",
          "[limits]") {
  const double limit = GENERATE(1.0, 10.0);
  LimitSimulation fleet(8, 1, limit);
  fleet.run(5000, 10 * limit);
  const std::size_t coordinator = fleet.coordinator(0, 0);
  const std::string how = GENERATE("cut off", "paused", "restarted");
  if (how == "cut off") fleet.cut_off(coordinator);
  if (how == "paused") fleet.pause(coordinator);
  if (how == "restarted") fleet.restart(coordinator);
  fleet.run(4500, 10 * limit);
  if (how == "cut off") fleet.reconnect(coordinator);
  if (how == "paused") fleet.resume(coordinator);
  const Millis since = fleet.now();
  fleet.run(6000, 10 * limit);
  CHECK(fleet.most_arrivals_in_window() <= allowed_in_window(limit));
  CHECK(static_cast<double>(fleet.arrivals_since(since)) >= 0.7 * limit * 6);
}

TEST_CASE("a limit holds while processes are disturbed at random", "[limits]") {
  const unsigned seed = GENERATE(range(1U, 13U));
  const double limit = seed % 2 == 0 ? 1.5 : 8.0;
  constexpr std::size_t kVms = 8;
  LimitSimulation fleet(kVms, 2, limit);
  fleet.run(4000, 8 * limit);
  unsigned draw = seed;
  const auto next = [&draw](unsigned range) {
    draw = draw * 1664525U + 1013904223U;
    return (draw >> 16U) % range;
  };
  for (int step = 0; step < 12; ++step) {
    const std::size_t vm = next(kVms);
    switch (next(3)) {
      case 0:
        fleet.cut_off(vm);
        fleet.run(500 + next(3000), 8 * limit);
        fleet.reconnect(vm);
        break;
      case 1:
        fleet.pause(vm);
        fleet.run(500 + next(3000), 8 * limit);
        fleet.resume(vm);
        break;
      default:
        fleet.restart(vm);
        fleet.run(500 + next(1500), 8 * limit);
    }
  }
  CHECK(fleet.most_arrivals_in_window() <= allowed_in_window(limit));
}

TEST_CASE("both parts of a split fleet together stay within a limit",
          "[limits]") {
  const std::size_t cut = GENERATE(1U, 3U, 4U, 5U);
  for (std::size_t live = 0; live <= 8; ++live) {
    const double rate = permitted_rate(10, static_cast<double>(live) / 8) +
                        permitted_rate(10, static_cast<double>(8 - live) / 8);
    CHECK(rate <= 15);
  }
  LimitSimulation fleet(8, 1, 5.0);
  fleet.run(5000, 50);
  for (std::size_t vm = 0; vm < cut; ++vm) fleet.cut_off(vm);
  fleet.run(8000, 50);
  CHECK(fleet.most_arrivals_in_window() <= allowed_in_window(5.0));
}

TEST_CASE("calls beyond a limit are rejected at once with a time to return",
          "[limits]") {
  LimitSimulation fleet(4, 2, 2.0);
  fleet.run(5000, 60);
  CHECK(fleet.outcomes().rejected > 100);
  CHECK(fleet.outcomes().longest_wait_of_rejected <= 100);
  RouterHarness router;
  for (const char* id : {"p1", "p2"}) name_limit(router, id, 1.0);
  const auto request = router.send_request("/entry/1");
  std::vector<RoutingEffect> effects = router.effects;
  for (int i = 0; i < 2; ++i) {
    const auto asked = effects_of<RequestPermits>(effects);
    REQUIRE(asked.size() == 1);
    effects = answer_permits(router, asked.front(), {0, 900});
  }
  const auto responses = effects_of<SendLocalResponse>(effects);
  REQUIRE(responses.size() == 1);
  CHECK(responses.front().request == request);
  CHECK(responses.front().status == 503);
  CHECK(responses.front().reason == "endpoint_limits");
  CHECK(responses.front().retry_after >= 900);
}

TEST_CASE("a call waits for a permit that is due soon", "[limits]") {
  RouterHarness router;
  router.apply(EndpointUnlisted{"p2"});
  name_limit(router, "p1", 20.0);
  const auto request = router.send_request("/entry/1");
  auto asked = effects_of<RequestPermits>(router.effects);
  REQUIRE(asked.size() == 1);
  CHECK(effects_of<SendLocalResponse>(
            answer_permits(router, asked.front(), {0, 30}))
            .empty());
  asked = effects_of<RequestPermits>(router.advance(40));
  REQUIRE(asked.size() == 1);
  answer_permits(router, asked.front(), {1, 0});
  CHECK(router.last_attempt(request).endpoint == "p1");
}

TEST_CASE("a call goes to another endpoint if a limited one has no permit",
          "[limits]") {
  RouterHarness router;
  EndpointEntry distant = samples::sample_endpoint("p2", "plain", "b");
  router.apply(EndpointListed{distant});
  name_limit(router, "p1", 1.0);
  const auto request = router.send_request("/entry/1");
  const auto asked = effects_of<RequestPermits>(router.effects);
  REQUIRE(asked.size() == 1);
  const bool is_answered = GENERATE(true, false);
  if (is_answered) {
    answer_permits(router, asked.front(), {0, 900});
  } else {
    router.advance(80);
  }
  CHECK(router.last_attempt(request).endpoint == "p2");
}

TEST_CASE("a permit that arrives late or has lapsed is not used", "[limits]") {
  EndpointPermits permits;
  CHECK_FALSE(use_permit(permits, 1000));
  CHECK(take_due_permit_request(permits, 1000) == 1U);
  CHECK(expire_permit_request(permits, 1000 + kPermitTimeout + 1));
  CHECK_FALSE(add_permits(permits, {1, 0}, 1000, kPermitLifetime, 1200));
  CHECK_FALSE(has_permit(permits, 1200));
  permits = {};
  CHECK_FALSE(use_permit(permits, 2000));
  CHECK(take_due_permit_request(permits, 2000) == 1U);
  CHECK(add_permits(permits, {1, 0}, 2000, kPermitLifetime, 2010));
  CHECK(has_permit(permits, 2010));
  CHECK_FALSE(use_permit(permits, 2000 + kPermitLifetime));
}

TEST_CASE("a request that had to be sent uses up a later permit", "[limits]") {
  EndpointPermits permits;
  permits.overdrawn = 2;
  CHECK_FALSE(use_permit(permits, 1000));
  CHECK(take_due_permit_request(permits, 1000) == 3U);
  CHECK(add_permits(permits, {3, 0}, 1000, kPermitLifetime, 1005));
  CHECK(use_permit(permits, 1005));
  CHECK_FALSE(use_permit(permits, 1005));
}

TEST_CASE("the coordinator of placements uses a permit for each placement",
          "[limits]") {
  RouterHarness router;
  for (const char* id : {"e1", "e2", "e3"}) name_limit(router, id, 1.0);
  PlacementRequested placement{"vm-2", 7, {"engines", 2000, 2000, 2, "a"}};
  auto effects = router.apply(placement);
  CHECK(effects_of<AnswerPlacement>(effects).front().endpoint.empty());
  const auto asked = effects_of<RequestPermits>(effects);
  REQUIRE(asked.size() == 1);
  effects = answer_permits(router, asked.front(), {1, 0});
  const auto placed = effects_of<AnswerPlacement>(effects);
  REQUIRE(placed.size() == 1);
  CHECK(placed.front().endpoint == asked.front().endpoint);
  CHECK_FALSE(has_permit(
      router.state.endpoints.at(asked.front().endpoint).permits, router.now));
}

TEST_CASE("an endpoint that declines requests for a time gets none",
          "[limits]") {
  RouterHarness router;
  router.apply(EndpointAnswered{"p1", {std::nullopt, false, 2000}});
  for (int i = 0; i < 20; ++i) {
    const auto request = router.send_request("/entry/1");
    CHECK(router.last_attempt(request).endpoint == "p2");
  }
  router.apply(EndpointAnswered{"p2", {std::nullopt, false, 900}});
  router.send_request("/entry/1");
  const auto rejected = effects_of<SendLocalResponse>(router.effects);
  REQUIRE(rejected.size() == 1);
  CHECK(rejected.front().reason == "endpoints_decline");
  CHECK(rejected.front().retry_after >= 900);
  CHECK(rejected.front().retry_after < 2000);
  router.advance(1000);
  const auto request = router.send_request("/entry/1");
  CHECK(router.last_attempt(request).endpoint == "p2");
}

TEST_CASE("a later rejection with a shorter pause ends the longer one early",
          "[limits]") {
  RouterHarness router;
  router.apply(EndpointAnswered{"p1", {std::nullopt, false, 3000}});
  router.now += 100;
  router.apply(EndpointAnswered{"p1", {std::nullopt, false, 500}});
  router.apply(EndpointAnswered{"p1", {}});
  for (int i = 0; i < 20; ++i) {
    router.advance(100);
    const auto request = router.send_request("/entry/1");
    CHECK(router.last_attempt(request).endpoint == "p2");
  }
}

TEST_CASE("a placement coordinator is asked for endpoints that do not decline",
          "[limits]") {
  RouterHarness router;
  router.apply(EndpointAnswered{"e1", {std::nullopt, false, 3000}});
  const auto request = router.send_request_unplaced("/stream/1");
  auto asked = effects_of<RequestPlacement>(router.effects);
  REQUIRE(asked.size() == 1);
  CHECK(asked.front().requirements.excluded_endpoints ==
        std::vector<std::string>{"e1"});
  // A coordinator may have granted it before.
  router.apply(PlacementAnswered{request, "e1", 0});
  CHECK(router.last_attempt(request).endpoint.empty());
  asked = effects_of<RequestPlacement>(router.advance(40));
  CHECK(asked.size() == 1);
}

TEST_CASE("a limit ends when the endpoint no longer names it", "[limits]") {
  RouterHarness router;
  name_limit(router, "p1", 1.0);
  REQUIRE(reported_limits(router.state).size() == 1);
  router.advance(500);
  name_limit(router, "p1", std::nullopt);
  const auto reported = reported_limits(router.state);
  REQUIRE(reported.size() == 1);
  CHECK_FALSE(reported.front().limit.requests_per_second.has_value());
  router.advance(6000);
  CHECK(reported_limits(router.state).empty());
}

TEST_CASE("an older report of a limit does not replace a newer one",
          "[limits]") {
  RouterHarness router;
  router.advance(1000);
  name_limit(router, "p1", std::nullopt);
  PeerReportReceived report;
  report.peer = "vm-2";
  report.limits = {{"p1", {3.0, router.now - 400}},
                   {"p2", {4.0, router.now - 400}},
                   {"unknown", {5.0, router.now}}};
  router.apply(report);
  const auto& endpoints = router.state.endpoints;
  CHECK_FALSE(endpoints.at("p1").limit.requests_per_second.has_value());
  CHECK(endpoints.at("p2").limit.requests_per_second == 4.0);
  CHECK_FALSE(endpoints.contains("unknown"));
}

TEST_CASE("sums of reports keep the newest observation of each limit",
          "[limits]") {
  ReportTotals totals;
  PeerReportReceived first;
  first.limits = {{"p1", {3.0, 1000}}, {"p2", {4.0, 1000}}};
  PeerReportReceived second;
  second.limits = {{"p1", {std::nullopt, 1500}}, {"p2", {2.0, 900}}};
  add_report(totals, first);
  add_report(totals, second);
  const std::vector<ObservedLimit> expected = {{"p1", {std::nullopt, 1500}},
                                               {"p2", {4.0, 1000}}};
  CHECK(report_of(totals, "zone", 1).limits == expected);
}

}  // namespace
}  // namespace peridotreach
