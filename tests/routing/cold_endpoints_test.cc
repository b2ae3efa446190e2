// Tests of endpoints that are cold: the load is a fleet that finds empty
// endpoints and sends them all that it has.

#include <catch2/catch.hpp>
#include <cmath>

#include "libperidotreach/routing/cold_phase.h"
#include "libperidotreach/routing/request_permits.h"
#include "tests/routing/limit_simulation.h"
#include "tests/routing/router_harness.h"

namespace peridotreach {
namespace {

using samples::effects_of;
using samples::LimitSimulation;
using samples::RouterHarness;

constexpr double kColdRate = 28;
// Calls that overload two cold endpoints ten times.
constexpr double kFlood = 20 * kColdRate;

// What a cold endpoint may get in a second.
constexpr std::size_t kAllowedInSecond = 47;

// A router whose engines may be cold after their start.
RouterHarness router_with_cold_engines() {
  RouterHarness router;
  Manifest manifest = samples::sample_manifest(2);
  manifest.services["engines"].cold_start = kSecond;
  manifest.services["engines"].cold_requests_per_second = kColdRate;
  router.apply(ManifestReceived{manifest, {1, 2}, "store"});
  router.advance(2 * kSecond);
  return router;
}

EndpointEntry next_entry(const RouterHarness& router, const std::string& id) {
  EndpointEntry entry = router.state.endpoints.at(id).entry;
  entry.sequence += 1;
  entry.remaining_warm_up = 0;
  return entry;
}

bool is_cold(const RouterHarness& router, const std::string& id) {
  return cold_rate(router.state, router.state.endpoints.at(id)).has_value();
}

TEST_CASE("a fleet sends cold endpoints no more than they take", "[cold]") {
  const std::size_t vms = GENERATE(1, 8, 61, 200);
  const double rate = GENERATE(2.0, kColdRate);
  CAPTURE(vms, rate);
  LimitSimulation fleet(vms, 2, std::nullopt, rate);
  fleet.run(1500, rate / 10);
  const Millis since = fleet.now();
  for (std::size_t i = 0; i < 2; ++i) fleet.list_cold(i, 4 * kSecond);
  fleet.run(4000, 20 * rate);
  CHECK(static_cast<double>(fleet.most_arrivals_in_second(since)) <=
        1.5 * rate + 5);
  // The endpoints are not left idle either.
  CHECK(static_cast<double>(fleet.arrivals_since(since)) >= 0.7 * 2 * rate * 4);
}

TEST_CASE("the parts of a split fleet together stay within a cold rate",
          "[cold]") {
  const std::size_t cut = GENERATE(1U, 4U, 10U);
  const std::string when = GENERATE("before", "as it becomes cold");
  CAPTURE(cut, when);
  LimitSimulation fleet(20, 1, std::nullopt, kColdRate);
  fleet.run(1500, 20);
  for (std::size_t vm = 0; vm < cut; ++vm) fleet.cut_off(vm);
  if (when == "before") fleet.run(3000, 20);
  const Millis since = fleet.now();
  fleet.list_cold(0, 5 * kSecond);
  fleet.run(5000, kFlood);
  CHECK(fleet.most_arrivals_in_second(since) <= kAllowedInSecond);
}

TEST_CASE("many processes that are each alone stay within a cold rate",
          "[cold]") {
  const double rate = GENERATE(2.0, kColdRate);
  const std::string when = GENERATE("before", "as it becomes cold");
  CAPTURE(rate, when);
  LimitSimulation fleet(67, 1, std::nullopt, rate);
  fleet.run(1500, rate);
  for (std::size_t vm = 0; vm < 13; ++vm) fleet.cut_off(vm);
  if (when == "before") fleet.run(3000, rate);
  const Millis since = fleet.now();
  fleet.list_cold(0, 4 * kSecond);
  fleet.run(4000, 20 * rate);
  CHECK(static_cast<double>(fleet.most_arrivals_in_second(since)) <=
        1.5 * rate + 5);
}

TEST_CASE("the terms of all parts together stay within a cold rate", "[cold]") {
  const double rate = GENERATE(0.5, 2.0, 10.0, kColdRate, 300.0);
  const double alone = GENERATE(0.0, 13.0 / 67, 60.0 / 300, 1.0);
  const double part = GENERATE(0.002, 1.0 / 67, 0.1, 0.125, 0.25, 0.5, 1.0);
  CAPTURE(rate, alone, part);
  // A fleet of which `alone` is split into parts of the same size.
  const auto sum = [&](double share, double parts) {
    const PermitTerms terms = cold_terms(rate, share);
    const double in_second =
        terms.permits_per_second * (kSecond + kColdPermitLifetime) / kSecond;
    // Parts without permits have an empty bucket.
    return terms.bucket_capacity < 1
               ? 0
               : parts * (terms.bucket_capacity + in_second);
  };
  CHECK(sum(part, std::floor(alone / part)) + sum(1 - alone, 1) <=
        1.5 * rate + 5);
}

TEST_CASE("a cold rate holds while the coordinator of its permits is lost",
          "[cold]") {
  LimitSimulation fleet(8, 1, std::nullopt, kColdRate);
  fleet.run(1500, 20);
  const Millis since = fleet.now();
  fleet.list_cold(0, 6 * kSecond);
  fleet.run(1000, kFlood);
  const std::size_t coordinator = fleet.coordinator(0, 0);
  const std::string how = GENERATE("cut off", "paused", "restarted");
  CAPTURE(how);
  if (how == "cut off") fleet.cut_off(coordinator);
  if (how == "paused") fleet.pause(coordinator);
  if (how == "restarted") fleet.restart(coordinator);
  fleet.run(2500, kFlood);
  if (how == "cut off") fleet.reconnect(coordinator);
  if (how == "paused") fleet.resume(coordinator);
  const Millis regained = fleet.now();
  fleet.run(2000, kFlood);
  CHECK(fleet.most_arrivals_in_second(since) <= kAllowedInSecond);
  CHECK(static_cast<double>(fleet.arrivals_since(regained)) >=
        0.6 * kColdRate * 2);
}

TEST_CASE("an endpoint may be cold after its start, a failure or a closing",
          "[cold]") {
  RouterHarness router = router_with_cold_engines();
  REQUIRE_FALSE(is_cold(router, "e1"));
  EndpointEntry restarted = next_entry(router, "e1");
  restarted.started_at_ms += 1;
  restarted.sequence = 1;
  router.apply(EndpointListed{restarted});
  CHECK(is_cold(router, "e1"));
  router.advance(kSecond);
  CHECK_FALSE(is_cold(router, "e1"));

  EndpointEntry cold = next_entry(router, "e1");
  cold.remaining_warm_up = 700;
  router.apply(EndpointListed{cold});
  router.advance(600);
  CHECK(is_cold(router, "e1"));
  router.advance(100);
  CHECK_FALSE(is_cold(router, "e1"));

  // After a failure, until an entry that was written later.
  const auto request = router.send_request("/stream/1");
  const std::string failed = router.last_attempt(request).endpoint;
  router.apply(AttemptEnded{request, 1, AttemptOutcome::kNotSent, 0, {}});
  router.apply(EndpointListed{next_entry(router, failed)});
  // Warm entries that come soon may have been written before it.
  router.advance(kWarmEntryDelay - 1);
  router.apply(EndpointListed{next_entry(router, failed)});
  router.advance(5 * kSecond);
  // So may the known one that is read again.
  router.apply(EndpointListed{router.state.endpoints.at(failed).entry});
  CHECK(is_cold(router, failed));
  router.apply(EndpointListed{next_entry(router, failed)});
  CHECK_FALSE(is_cold(router, failed));

  // After its zone was closed, until it has answered for its cold start time.
  router.apply(ZoneClosed{"a", {1, 3}, "store"});
  router.apply(ZoneOpened{"a", {1, 4}, "store"});
  router.advance(3 * kSecond);
  CHECK(is_cold(router, "e1"));
  router.apply(EndpointAnswered{"e1", {}});
  CHECK(is_cold(router, "e1"));
  router.advance(kSecond);
  CHECK_FALSE(is_cold(router, "e1"));
}

TEST_CASE("a placement after a peer's failure waits for a permit", "[cold]") {
  RouterHarness router = router_with_cold_engines();
  PeerReportReceived report;
  report.peer = "vm-2";
  report.endpoint_usage = {{"e1"}, {"e2"}, {"e3"}};
  router.apply(report);
  REQUIRE_FALSE(is_cold(router, "e1"));
  for (EndpointUsage& usage : report.endpoint_usage)
    usage.transport_failures = 1;
  router.apply(report);
  const auto effects = router.apply(
      PlacementRequested{"vm-3", 7, {"engines", 2000, 2000, 2, "a"}});
  CHECK(effects_of<RequestPermits>(effects).size() == 1);
  // The request is queued.
  for (const AnswerPlacement& answer : effects_of<AnswerPlacement>(effects))
    CHECK(answer.endpoint.empty());

  // Decaying failures are no new ones.
  for (const char* id : {"e1", "e2", "e3"}) {
    EndpointEntry restarted = next_entry(router, id);
    restarted.started_at_ms += 1;
    router.apply(EndpointListed{restarted});
  }
  router.advance(kSecond);
  for (EndpointUsage& usage : report.endpoint_usage)
    usage.transport_failures = 0.5;
  router.apply(report);
  CHECK_FALSE(is_cold(router, "e1"));
}

TEST_CASE("no permit is requested where no cold rate is configured", "[cold]") {
  RouterHarness router;
  EndpointEntry cold = next_entry(router, "e1");
  cold.remaining_warm_up = 5000;
  router.apply(EndpointListed{cold});
  const auto request = router.send_request("/stream/1");
  CHECK_FALSE(router.last_attempt(request).endpoint.empty());
  CHECK(effects_of<RequestPermits>(router.effects).empty());
}

TEST_CASE("a coordinator bounds requests for an endpoint that it holds warm",
          "[cold]") {
  RouterHarness router = router_with_cold_engines();
  REQUIRE_FALSE(is_cold(router, "e1"));
  std::uint32_t granted = 0;
  for (int i = 0; i < 50; ++i) {
    router.now += 20;
    const auto answers = effects_of<AnswerPermits>(
        router.apply(PermitsRequested{"vm-2", "e1", 8, {}, router.now, 1}));
    REQUIRE(answers.size() == 1);
    granted += answers.front().grant.permits;
  }
  CHECK(granted <= kColdRate + 3);
  CHECK(granted >= 0.8 * kColdRate);
  // Nothing is granted for an endpoint that it does not know.
  const auto unknown = effects_of<AnswerPermits>(
      router.apply(PermitsRequested{"vm-2", "e9", 8, {}, router.now, 1}));
  REQUIRE(unknown.size() == 1);
  CHECK(unknown.front().grant.permits == 0);
}

TEST_CASE("the first request to an endpoint that becomes cold gets a permit",
          "[cold]") {
  PermitBucket whole;
  const PermitTerms terms = cold_terms(kColdRate, 1);
  CHECK(take_from_bucket(whole, terms, 1, 5000).permits == 1);
  CHECK(take_from_bucket(whole, terms, 1, 5000).permits == 0);
  PermitBucket part;
  CHECK(take_from_bucket(part, cold_terms(kColdRate, 0.5), 1, 5000).permits ==
        0);
}

TEST_CASE("permits of both lifetimes lapse in order", "[cold]") {
  EndpointPermits permits;
  permits.requested_at = 1000;
  REQUIRE(add_permits(permits, {1, 0}, 1000, kPermitLifetime, 1010));
  permits.requested_at = 1020;
  REQUIRE(add_permits(permits, {1, 0}, 1020, kColdPermitLifetime, 1030));
  CHECK(has_permit(permits, 1300));
  CHECK(use_permit(permits, 1300));
  CHECK_FALSE(use_permit(permits, 1300));
}

TEST_CASE("a move goes to a warm engine rather than wait for a permit",
          "[cold]") {
  RouterHarness router = router_with_cold_engines();
  EndpointEntry cold = next_entry(router, "e1");
  cold.remaining_warm_up = 5000;
  router.apply(EndpointListed{cold});
  // The warm engine is the busier one.
  PeerReportReceived busy;
  busy.peer = "vm-2";
  busy.endpoint_usage = {{"e2", 10, 20000}};
  router.apply(busy);
  PlacementRequested move{"vm-2", 7, {"engines", 2000, 2000, 2, "a"}};
  move.requirements.is_move = true;
  move.requirements.excluded_endpoints = {"e3"};
  const auto placed = effects_of<AnswerPlacement>(router.apply(move));
  REQUIRE(placed.size() == 1);
  CHECK(placed.front().endpoint == "e2");
}

TEST_CASE("a move awaits a permit of an engine with a limit", "[cold]") {
  RouterHarness router;
  EndpointNotice limited;
  limited.requests_per_second = 5;
  router.apply(EndpointAnswered{"e1", limited});
  PeerReportReceived busy;
  busy.peer = "vm-2";
  busy.endpoint_usage = {{"e2", 10, 20000}};
  router.apply(busy);
  PlacementRequested move{"vm-2", 7, {"engines", 2000, 2000, 2, "a"}};
  move.requirements.is_move = true;
  move.requirements.excluded_endpoints = {"e3"};
  const auto effects = router.apply(move);
  const auto placed = effects_of<AnswerPlacement>(effects);
  REQUIRE(placed.size() == 1);
  CHECK(placed.front().endpoint.empty());
  CHECK(effects_of<RequestPermits>(effects).size() == 1);
}

TEST_CASE("a generation that resumes at a cold engine is counted", "[cold]") {
  RouterHarness router = router_with_cold_engines();
  const std::string where = GENERATE("target", "source");
  CAPTURE(where);
  const auto request = router.send_request("/stream/1");
  router.apply(StreamOpened{request, 1});
  for (int i = 0; i < 10; ++i) {
    router.now += 40;
    router.apply(StreamEventReceived{request, 1, i});
  }
  const std::string source = router.last_attempt(request).endpoint;
  EndpointEntry leaving = next_entry(router, source);
  leaving.leaving = true;
  router.apply(EndpointListed{leaving});
  router.answer_placements(router.apply(CopyLeaseGranted{request, source}));
  const std::string target = router.state.requests.at(request).move.target;
  REQUIRE_FALSE(target.empty());
  // Both become cold during the copy.
  for (const std::string& id : {source, target}) {
    EndpointEntry cold = next_entry(router, id);
    cold.remaining_warm_up = 5000;
    router.apply(EndpointListed{cold});
  }
  CopyFinished copied{request, 200, "h-1"};
  copied.events_made = 9;
  router.apply(copied);
  if (where == "source") copied.status = 503;
  router.apply(copied);
  REQUIRE(router.last_attempt(request).attempt == 2);
  const std::string& resumed_at = where == "source" ? source : target;
  CHECK(router.last_attempt(request).endpoint == resumed_at);
  CHECK(router.state.endpoints.at(resumed_at).permits.overdrawn == 1);
}

}  // namespace
}  // namespace peridotreach
