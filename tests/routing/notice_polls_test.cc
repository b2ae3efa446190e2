// Tests of asking engines for notices that the store may not bring.

#include "libperidotreach/routing/notice_polls.h"

#include <catch2/catch.hpp>

#include "tests/routing/router_harness.h"

namespace peridotreach {
namespace {

using Engines = std::vector<std::string>;

constexpr NoticeDelivery kReached{false, 400};
constexpr NoticeDelivery kSuspected{false, 1000};
constexpr NoticeDelivery kLost{true, 5000};

// Returns a router whose engines e2 and e3 are in use by a peer.
samples::RouterHarness router_with_load() {
  samples::RouterHarness router;
  PeerReportReceived peer;
  peer.peer = "vm-2";
  for (const char* id : {"e2", "e3", "p1"}) {
    peer.endpoint_usage.push_back(EndpointUsage{id});
    peer.endpoint_usage.back().running_requests = 1;
  }
  router.apply(peer);
  return router;
}

TEST_CASE("engines are asked once the store may not bring notices",
          "[notice_polls]") {
  samples::RouterHarness router = router_with_load();
  CHECK(engines_to_ask(router.state, kReached).empty());
  CHECK(engines_to_ask(router.state, {}).empty());
  CHECK(engines_to_ask(router.state, kLost) == Engines{"e2", "e3"});
  // A short silence matters only where endpoints leave.
  CHECK(engines_to_ask(router.state, kSuspected).empty());

  EndpointEntry leaving = samples::sample_endpoint("e1", "engines");
  leaving.leaving = true;
  router.apply(EndpointListed{leaving});
  CHECK(engines_to_ask(router.state, kReached).empty());
  CHECK(engines_to_ask(router.state, kSuspected) == Engines{"e2", "e3"});
  router.apply(EndpointLeaving{"e2"});
  CHECK(engines_to_ask(router.state, kSuspected) == Engines{"e3"});
  router.advance(kNoticesExpectedFor + 100);
  CHECK(engines_to_ask(router.state, kSuspected).empty());
}

TEST_CASE("an engine that keeps closing connections leaves", "[notice_polls]") {
  const PollAnswer closes{false, true};
  CHECK(poll_result({true, false}, 1) == PollResult::kLeaves);
  CHECK(poll_result({false, false}, 1) == PollResult::kStays);
  CHECK(poll_result(closes, 1) == PollResult::kAskAgain);
  CHECK(poll_result({false, false}, 2) == PollResult::kStays);
  CHECK(poll_result(closes, 2) == PollResult::kAskAgain);
  CHECK(poll_result(closes, 3) == PollResult::kLeaves);
}

}  // namespace
}  // namespace peridotreach
