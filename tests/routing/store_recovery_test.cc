// Tests of endpoints whose entries expire during a store outage.

#include <catch2/catch.hpp>

#include "tests/routing/router_harness.h"

namespace peridotreach {
namespace {

using samples::RouterHarness;
using samples::sample_endpoint;

bool is_available(const RouterHarness& router, const std::string& id) {
  const EndpointState& endpoint = router.state.endpoints.at(id);
  return endpoint.listed && endpoint.leaving_since == 0;
}

void simulate_store_outage(RouterHarness& router) {
  router.apply(StoreReachabilityChanged{false});
  router.advance(5000);
  router.apply(StoreReachabilityChanged{true});
}

TEST_CASE("an entry that expired in an outage may be registered again",
          "[routing]") {
  RouterHarness router;
  simulate_store_outage(router);
  router.apply(EndpointUnlisted{"e1"});
  router.advance(1000);
  CHECK(is_available(router, "e1"));
  router.apply(EndpointListed{sample_endpoint("e1", "engines")});
  router.advance(5000);
  CHECK(is_available(router, "e1"));
}

// Some endpoints leave without a notice, so that the removal of their entry is
// all that tells of it.
TEST_CASE("a removal after a single failed call is a notice", "[routing]") {
  RouterHarness router;
  router.apply(StoreReachabilityChanged{true});
  router.advance(500);
  router.apply(StoreReachabilityChanged{false});
  router.advance(80);
  router.apply(StoreReachabilityChanged{true});
  router.apply(EndpointUnlisted{"e1"});
  CHECK_FALSE(is_available(router, "e1"));
}

TEST_CASE("an entry that is not registered again is dropped", "[routing]") {
  RouterHarness router;
  simulate_store_outage(router);
  router.apply(EndpointUnlisted{"e1"});
  router.advance(2000);
  CHECK_FALSE(is_available(router, "e1"));
}

TEST_CASE("an expiry reported by a peer counts from its arrival", "[routing]") {
  RouterHarness router;
  router.apply(StoreReachabilityChanged{false});
  router.advance(5000);
  router.apply(EndpointUnlisted{"e1"});
  router.advance(1000);
  CHECK(is_available(router, "e1"));
  router.advance(1000);
  CHECK_FALSE(is_available(router, "e1"));
}

TEST_CASE(
    "an entry is dropped at once without an outage or after a leave notice",
    "[routing]") {
  RouterHarness router;
  router.apply(EndpointUnlisted{"e1"});
  CHECK_FALSE(is_available(router, "e1"));
  simulate_store_outage(router);
  EndpointEntry leaving = sample_endpoint("e2", "engines");
  leaving.leaving = true;
  router.apply(EndpointListed{leaving});
  router.apply(EndpointUnlisted{"e2"});
  CHECK_FALSE(router.state.endpoints.at("e2").listed);
  router.advance(3000);
  router.apply(EndpointUnlisted{"e3"});
  CHECK_FALSE(is_available(router, "e3"));
}

EndpointEntry entry_at(const std::string& id, std::uint64_t sequence,
                       const std::string& service = "engines") {
  EndpointEntry entry = sample_endpoint(id, service);
  entry.sequence = sequence;
  return entry;
}

TEST_CASE("an entry that a restored store lost may be registered again",
          "[routing]") {
  RouterHarness router;
  router.apply(StoreEraSeen{1});
  router.advance(5000);
  router.apply(StoreEraSeen{2});
  router.apply(EndpointUnlisted{"e1"});
  router.apply(EndpointUnlisted{"e2"});
  router.advance(1000);
  CHECK(is_available(router, "e1"));
  router.apply(EndpointListed{sample_endpoint("e1", "engines")});
  router.advance(1000);
  CHECK(is_available(router, "e1"));
  CHECK_FALSE(is_available(router, "e2"));
}

TEST_CASE("an era that is not newer is no restoration", "[routing]") {
  RouterHarness router;
  router.apply(StoreEraSeen{3});
  router.apply(EndpointUnlisted{"e1"});
  CHECK_FALSE(is_available(router, "e1"));
  router.advance(5000);
  router.apply(StoreEraSeen{3});
  router.apply(StoreEraSeen{2});
  router.apply(EndpointUnlisted{"e2"});
  CHECK_FALSE(is_available(router, "e2"));
}

TEST_CASE("an endpoint that has left does not return with a restored store",
          "[routing]") {
  RouterHarness router;
  router.apply(EndpointListed{entry_at("e1", 5)});
  router.apply(EndpointUnlisted{"e1"});
  router.apply(EndpointListed{entry_at("e1", 3)});
  router.apply(EndpointListed{entry_at("e1", 5)});
  CHECK_FALSE(is_available(router, "e1"));
  router.apply(EndpointListed{entry_at("e1", 6)});
  CHECK(is_available(router, "e1"));
}

TEST_CASE("an earlier entry does not make a leaving endpoint ready",
          "[routing]") {
  RouterHarness router;
  EndpointEntry leaving = entry_at("e1", 7);
  leaving.leaving = true;
  router.apply(EndpointListed{leaving});
  router.apply(EndpointListed{entry_at("e1", 6)});
  CHECK_FALSE(is_available(router, "e1"));
  CHECK(router.state.endpoints.at("e1").entry == leaving);
  EndpointEntry restarted = entry_at("e1", 1);
  restarted.started_at_ms = 2;
  router.apply(EndpointListed{restarted});
  CHECK(is_available(router, "e1"));
}

// An entry of another writer, without the time of the start, was taken for a
// restart, and the endpoint that was about to exit got requests again.
TEST_CASE("an entry that names no start does not make a leaving endpoint ready",
          "[routing]") {
  RouterHarness router;
  EndpointEntry entry = sample_endpoint("e1", "engines");
  entry.started_at_ms = 1000;
  entry.sequence = 7;
  router.apply(EndpointListed{entry});
  entry.leaving = true;
  entry.sequence = 8;
  router.apply(EndpointListed{entry});
  EndpointEntry odd = sample_endpoint("e1", "engines");
  odd.started_at_ms = 0;
  odd.sequence = GENERATE(0u, 9u);
  router.apply(EndpointListed{odd});
  CHECK_FALSE(is_available(router, "e1"));
  entry.sequence = 10;
  router.apply(EndpointListed{entry});
  CHECK_FALSE(is_available(router, "e1"));
  entry.started_at_ms = 2000;
  entry.leaving = false;
  router.apply(EndpointListed{entry});
  CHECK(is_available(router, "e1"));
}

TEST_CASE("an endpoint that announces its leave gets no new requests",
          "[routing]") {
  RouterHarness router;
  router.apply(EndpointLeaving{"e1"});
  router.apply(EndpointLeaving{"none"});
  CHECK_FALSE(is_available(router, "e1"));
  CHECK(router.state.endpoints.at("e1").listed);
}

TEST_CASE("an endpoint that says in an answer that it leaves gets no requests",
          "[routing]") {
  RouterHarness router;
  const auto effects =
      router.apply(EndpointAnswered{"p1", {std::nullopt, true}});
  CHECK(samples::effects_of<AnnounceEndpointLeaving>(effects).size() == 1);
  CHECK(samples::effects_of<AnnounceEndpointLeaving>(
            router.apply(EndpointAnswered{"p1", {std::nullopt, true}}))
            .empty());
  for (int i = 0; i < 20; ++i) {
    const auto request = router.send_request("/entry/1");
    CHECK(router.last_attempt(request).endpoint == "p2");
  }
  // Neither a ready entry nor one that is registered again takes that back.
  router.apply(EndpointListed{entry_at("p1", 8, "plain")});
  router.apply(EndpointUnlisted{"p1"});
  router.apply(EndpointListed{entry_at("p1", 9, "plain")});
  CHECK_FALSE(is_available(router, "p1"));
  EndpointEntry restarted = entry_at("p1", 1, "plain");
  restarted.started_at_ms = 2;
  router.apply(EndpointListed{restarted});
  CHECK(is_available(router, "p1"));
}

TEST_CASE("an endpoint that leaves is forgotten before it is gone",
          "[routing]") {
  RouterHarness router;
  router.apply(EndpointListed{entry_at("p1", 7, "plain")});
  router.apply(EndpointAnswered{"p1", {std::nullopt, true}});
  router.apply(EndpointUnlisted{"p1"});
  // Generations may run for 39 s on an endpoint that leaves.
  for (Millis waited = 0; waited < 60 * kSecond; waited += kSecond)
    router.advance(kSecond);
  router.apply(EndpointListed{entry_at("p1", 8, "plain")});
  CHECK_FALSE(is_available(router, "p1"));
  for (int i = 0; i < 20; ++i) {
    const auto request = router.send_request("/entry/1");
    CHECK(router.last_attempt(request).endpoint == "p2");
  }
}

TEST_CASE("a generation does not move to an endpoint that leaves",
          "[routing]") {
  RouterHarness router;
  const auto request = router.send_request("/stream/1");
  const std::string source = router.last_attempt(request).endpoint;
  router.apply(StreamOpened{request, 1});
  router.apply(StreamEventReceived{request, 1, 0});
  router.apply(EndpointLeaving{source});
  router.apply(CopyLeaseGranted{request, source});
  const std::string target = source == "e1" ? "e2" : "e1";
  router.apply(EndpointLeaving{target});
  const auto effects = router.apply(PlacementAnswered{request, target, 0});
  CHECK(samples::effects_of<CopyGeneration>(effects).empty());
}

TEST_CASE("changed retry limits apply to the next retry", "[routing]") {
  RouterHarness router;
  RetryBudgetLimits no_retries = router.state.config.retry_limits;
  no_retries.ratio = no_retries.slack = 0;
  router.apply(RetryLimitsChanged{no_retries});
  const auto request = router.send_request("/lookup/1");
  const auto effects = router.apply(
      AttemptEnded{request, 1, AttemptOutcome::kCompleteResponse, 500});
  CHECK(samples::effects_of<StartAttempt>(effects).empty());
  CHECK(samples::effects_of<DeliverResponse>(effects).size() == 1);
}

}  // namespace
}  // namespace peridotreach
