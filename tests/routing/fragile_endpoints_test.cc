// Tests of endpoints that fail if they have to reject too many requests.

#include "libperidotreach/routing/fragile_endpoints.h"

#include <catch2/catch.hpp>

#include "libperidotreach/routing/endpoint_choice.h"
#include "libperidotreach/routing/report_totals.h"
#include "tests/routing/limit_simulation.h"
#include "tests/routing/router_harness.h"

namespace peridotreach {
namespace {

using samples::effects_of;
using samples::LimitSimulation;
using samples::RouterHarness;
using samples::SimulatedCapacity;
using samples::SimulatedOutcomes;

// Failures that a service with so many endpoints may have.
std::size_t allowed_failures(std::size_t endpoints) {
  return 2 + endpoints / 10;
}

struct OverloadedFleet {
  std::size_t vms = 0;
  std::size_t endpoints = 0;
  // Demand relative to what the endpoints can take.
  double load = 0;
};

constexpr Millis kServiceTime = 60;
constexpr Millis kGracePeriod = 3 * kSecond;
constexpr SimulatedCapacity kFragile{6, 2, 5};

double calls_per_second(std::size_t endpoints) {
  return static_cast<double>(endpoints * kFragile.slots) * kSecond /
         kServiceTime;
}

// Lets the fleet learn that its endpoints are fragile in the time in which they
// reject any number of calls.
void pass_grace_period(LimitSimulation& fleet, std::size_t endpoints) {
  SimulatedCapacity robust = kFragile;
  robust.max_rejections = 100000;
  fleet.bound_capacity(robust, kServiceTime);
  fleet.run(kGracePeriod, 0.5 * calls_per_second(endpoints));
}

TEST_CASE("endpoints that may reject few calls fail under overload",
          "[limits]") {
  const auto [vms, endpoints, load] =
      GENERATE(OverloadedFleet{8, 3, 1.5}, OverloadedFleet{8, 3, 3.0},
               OverloadedFleet{60, 6, 1.5}, OverloadedFleet{60, 6, 3.0});
  CAPTURE(vms, endpoints, load);
  LimitSimulation fleet(vms, endpoints, std::nullopt);
  pass_grace_period(fleet, endpoints);
  fleet.bound_capacity(kFragile, kServiceTime);
  const std::uint64_t served_before = fleet.outcomes().served;
  fleet.run(8 * kSecond, load * calls_per_second(endpoints));
  CHECK(fleet.failures() <= allowed_failures(endpoints));
  // Callers still get most of what the endpoints can do.
  CHECK(static_cast<double>(fleet.outcomes().served - served_before) >=
        0.7 * 8 * calls_per_second(endpoints));
}

TEST_CASE("fragile endpoints that slow down get less", "[limits]") {
  const std::size_t vms = GENERATE(8U, 60U);
  const Millis slow = GENERATE(2 * kServiceTime, 4 * kServiceTime);
  const std::size_t most_waiting = GENERATE(0U, 2U);
  CAPTURE(vms, slow, most_waiting);
  SimulatedCapacity capacity = kFragile;
  capacity.waiting = most_waiting;
  LimitSimulation fleet(vms, 4, std::nullopt);
  pass_grace_period(fleet, 4);
  fleet.bound_capacity(capacity, kServiceTime);
  fleet.run(2 * kSecond, 0.8 * calls_per_second(4));
  fleet.bound_capacity(capacity, slow);
  fleet.run(8 * kSecond, 0.8 * calls_per_second(4));
  CHECK(fleet.failures() <= allowed_failures(4));
}

TEST_CASE("calls below the capacity of fragile endpoints are served",
          "[limits]") {
  const std::size_t vms = GENERATE(1U, 8U, 60U);
  CAPTURE(vms);
  LimitSimulation fleet(vms, 6, std::nullopt);
  pass_grace_period(fleet, 6);
  fleet.bound_capacity(kFragile, kServiceTime);
  const SimulatedOutcomes before = fleet.outcomes();
  fleet.run(8 * kSecond, 0.6 * calls_per_second(6));
  CHECK(fleet.failures() == 0);
  const std::uint64_t served = fleet.outcomes().served - before.served;
  const std::uint64_t rejected = fleet.outcomes().rejected - before.rejected;
  CHECK(rejected * 20 <= served);
}

TEST_CASE("fragile endpoints last while the coordinator of permits is lost",
          "[limits]") {
  const std::string how = GENERATE("cut off", "paused", "restarted");
  CAPTURE(how);
  LimitSimulation fleet(8, 3, std::nullopt);
  pass_grace_period(fleet, 3);
  fleet.bound_capacity(kFragile, kServiceTime);
  fleet.run(2 * kSecond, 2 * calls_per_second(3));
  const std::size_t coordinator = fleet.coordinator(0, 0);
  if (how == "cut off") fleet.cut_off(coordinator);
  if (how == "paused") fleet.pause(coordinator);
  if (how == "restarted") fleet.restart(coordinator);
  fleet.run(4 * kSecond, 2 * calls_per_second(3));
  if (how == "cut off") fleet.reconnect(coordinator);
  if (how == "paused") fleet.resume(coordinator);
  fleet.run(4 * kSecond, 2 * calls_per_second(3));
  CHECK(fleet.failures() <= allowed_failures(3));
}

// What an endpoint says that may reject `rejections` requests a second.
EndpointNotice fragile_notice(double rejections) {
  EndpointNotice notice;
  notice.rejection_limit = rejections;
  return notice;
}

TEST_CASE("slots are handed out once, and are free when that is reported",
          "[limits]") {
  SlotLedger ledger;
  const auto report = [&](const std::string& process, std::uint32_t held,
                          std::uint32_t rejections, Millis now) {
    update_slots(ledger, {process, held, rejections}, 6, 0, now);
  };
  report("vm-1", 0, 0, 1000);
  // It does not know yet what other processes hold.
  CHECK(free_slots(ledger, 6, 1, 1000) == 2);
  CHECK(free_slots(ledger, 6, 1, 1400) == 6);
  hand_out_slots(ledger, "vm-1", 4, 1400);
  CHECK(free_slots(ledger, 6, 1, 1400) == 2);
  report("vm-2", 2, 0, 1410);
  CHECK(free_slots(ledger, 6, 1, 1410) == 0);
  report("vm-1", 1, 0, 1420);
  CHECK(free_slots(ledger, 6, 1, 1420) == 3);
  SECTION("a process that is gone holds none") {
    CHECK(free_slots(ledger, 6, 1, 3600) == 6);
  }
  SECTION("rejections withhold slots for a while") {
    report("vm-1", 1, 1, 1500);
    CHECK(free_slots(ledger, 6, 1, 1500) == 1);
    report("vm-1", 0, 0, 3300);
    CHECK(free_slots(ledger, 6, 1, 3300) == 4);
  }
  SECTION("a part of a split fleet hands out its share") {
    CHECK(free_slots(ledger, 6, 0.5, 1420) == 0);
  }
}

TEST_CASE("slots of lapsed permits are reported as free", "[limits]") {
  RouterHarness router;
  router.apply(EndpointAnswered{"p1", fragile_notice(5)});
  router.apply(EndpointUnlisted{"p2"});
  const auto request = router.send_request("/entry/1");
  const auto asked = effects_of<RequestPermits>(router.effects);
  REQUIRE(asked.size() == 1);
  CHECK(asked[0].count == 1);
  CHECK(asked[0].held_slots == 0);
  router.apply(CallerDisconnected{request});
  router.apply(PermitsAnswered{"p1", {1, 0}, asked[0].requested_at});
  const auto reports = effects_of<RequestPermits>(router.advance(100));
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].count == 0);
  CHECK(reports[0].held_slots == 0);
  CHECK(effects_of<AnswerPermits>(
            router.apply(PermitsRequested{"vm-2", "p1", 0, {}, 1}))
            .empty());
}

TEST_CASE("what one process hears of a fragile endpoint holds for all",
          "[limits]") {
  RouterHarness router;
  PeerReportReceived report;
  report.peer = "vm-2";
  report.limits = {{"p1", {std::nullopt, router.now, 4.0}}};
  router.apply(report);
  const ServiceSpec& service = router.state.manifest->services.at("plain");
  EndpointState& endpoint = router.state.endpoints.at("p1");
  CHECK(needs_permit(&service, endpoint, router.now));
  router.now += 500;
  router.apply(EndpointAnswered{"p1", {}});
  CHECK_FALSE(needs_permit(&service, endpoint, router.now));
  REQUIRE(reported_limits(router.state).size() == 1);
  CHECK_FALSE(is_limited(reported_limits(router.state)[0].limit));
}

TEST_CASE("a fragile engine gets no request that would wait there",
          "[limits]") {
  RouterHarness router;
  router.apply(EndpointUnlisted{"e2"});
  router.apply(EndpointUnlisted{"e3"});
  PeerReportReceived report;
  report.peer = "vm-2";
  report.endpoint_usage = {{"e1", 8, 30000}};
  router.apply(report);
  EndpointCriteria criteria;
  criteria.service = "engines";
  criteria.projected_tokens = 3800;
  CHECK(choose_endpoint(router.state, criteria) == "e1");
  router.apply(EndpointAnswered{"e1", fragile_notice(3)});
  CHECK(choose_endpoint(router.state, criteria).empty());
  criteria.projected_tokens = 500;
  CHECK(choose_endpoint(router.state, criteria) == "e1");
  report.endpoint_usage = {{"e1", 24, 1000}};
  router.apply(report);
  CHECK(choose_endpoint(router.state, criteria).empty());
}

TEST_CASE("a fragile engine that rejects a request gets none for a while",
          "[limits]") {
  RouterHarness router;
  const auto request = router.send_request("/stream/1");
  const StartAttempt attempt = router.last_attempt(request);
  router.apply(EndpointAnswered{attempt.endpoint, fragile_notice(3)});
  router.apply(
      AttemptEnded{request, attempt.attempt, AttemptOutcome::kNotRun, 503});
  const EndpointState& engine = router.state.endpoints.at(attempt.endpoint);
  CHECK_FALSE(accepts_new_requests(engine, router.now + 900));
  CHECK(accepts_new_requests(engine, router.now + 1100));
}

}  // namespace
}  // namespace peridotreach
