// Tests of endpoints whose entries lapse while the store is away.

#include <catch2/catch.hpp>

#include "tests/routing/router_harness.h"

namespace peridotreach {
namespace {

using samples::RouterHarness;
using samples::sample_endpoint;

bool is_listed(const RouterHarness& router, const std::string& id) {
  const EndpointState& endpoint = router.state.endpoints.at(id);
  return endpoint.listed && endpoint.leaving_since == 0;
}

void lose_and_regain_store(RouterHarness& router) {
  router.apply(StoreReachabilityChanged{false});
  router.advance(5000);
  router.apply(StoreReachabilityChanged{true});
}

TEST_CASE("an entry that lapsed in an outage may come back", "[routing]") {
  RouterHarness router;
  lose_and_regain_store(router);
  router.apply(EndpointUnlisted{"e1"});
  router.advance(1000);
  CHECK(is_listed(router, "e1"));
  router.apply(EndpointListed{sample_endpoint("e1", "engines")});
  router.advance(5000);
  CHECK(is_listed(router, "e1"));
}

TEST_CASE("an entry that does not come back is gone", "[routing]") {
  RouterHarness router;
  lose_and_regain_store(router);
  router.apply(EndpointUnlisted{"e1"});
  router.advance(2000);
  CHECK_FALSE(is_listed(router, "e1"));
}

TEST_CASE("a peer's news of a lapse counts from when it arrived", "[routing]") {
  RouterHarness router;
  router.apply(StoreReachabilityChanged{false});
  router.advance(5000);
  router.apply(EndpointUnlisted{"e1"});
  router.advance(1000);
  CHECK(is_listed(router, "e1"));
  router.advance(1000);
  CHECK_FALSE(is_listed(router, "e1"));
}

TEST_CASE("without an outage, and after a notice, an entry is gone at once",
          "[routing]") {
  RouterHarness router;
  router.apply(EndpointUnlisted{"e1"});
  CHECK_FALSE(is_listed(router, "e1"));
  lose_and_regain_store(router);
  EndpointEntry leaving = sample_endpoint("e2", "engines");
  leaving.leaving = true;
  router.apply(EndpointListed{leaving});
  router.apply(EndpointUnlisted{"e2"});
  CHECK_FALSE(router.state.endpoints.at("e2").listed);
  router.advance(3000);
  router.apply(EndpointUnlisted{"e3"});
  CHECK_FALSE(is_listed(router, "e3"));
}

TEST_CASE("an endpoint that says itself that it leaves gets no new work",
          "[routing]") {
  RouterHarness router;
  router.apply(EndpointLeaving{"e1"});
  router.apply(EndpointLeaving{"none"});
  CHECK_FALSE(is_listed(router, "e1"));
  CHECK(router.state.endpoints.at("e1").listed);
}

TEST_CASE("a changed allowance holds for the next repeat", "[routing]") {
  RouterHarness router;
  RetryBudgetLimits none = router.state.config.retry_limits;
  none.ratio = none.slack = 0;
  router.apply(RetryLimitsChanged{none});
  const auto request = router.send_request("/lookup/1");
  const auto effects = router.apply(
      AttemptEnded{request, 1, AttemptOutcome::kCompleteResponse, 500});
  CHECK(samples::effects_of<StartAttempt>(effects).empty());
  CHECK(samples::effects_of<DeliverResponse>(effects).size() == 1);
}

}  // namespace
}  // namespace peridotreach
