// Tests of a process that cannot connect to endpoints which its peers reach.

#include <catch2/catch.hpp>

#include "tests/routing/router_harness.h"

namespace peridotreach {
namespace {

using samples::effects_of;
using samples::RouterHarness;

// The time in which a connection fails, and that in which a router has to know
// that its own links are lost.
constexpr Millis kConnectTime = 400;
constexpr Millis kDetectionTime = 3 * kSecond;

// Lets all attempts among `effects`, and those that follow from them, fail
// without being sent. Returns how many callers get a 503.
std::size_t fail_connections(RouterHarness& router,
                             std::vector<RoutingEffect> effects) {
  std::size_t rejected = 0;
  while (true) {
    for (const auto& response : effects_of<SendLocalResponse>(effects)) {
      if (response.status == 503) rejected += 1;
    }
    const auto attempts = effects_of<StartAttempt>(effects);
    if (attempts.empty()) return rejected;
    effects.clear();
    router.now += kConnectTime;
    for (const StartAttempt& attempt : attempts) {
      const auto next = router.apply(AttemptEnded{
          attempt.request, attempt.attempt, AttemptOutcome::kNotSent});
      effects.insert(effects.end(), next.begin(), next.end());
    }
  }
}

TEST_CASE(
    "a VM that is cut off from all endpoints rejects what peers can serve",
    "[routing][!mayfail]") {
  RouterHarness router;
  PeerReportReceived peer;
  peer.peer = "vm-2";
  router.apply(peer);
  const Millis cut_at = router.now;
  std::size_t rejected = 0;
  while (router.now < cut_at + 3 * kDetectionTime) {
    const std::size_t before = router.effects.size();
    router.send_request("/entry/1");
    const std::size_t rejected_now = fail_connections(
        router, {router.effects.begin() + static_cast<std::ptrdiff_t>(before),
                 router.effects.end()});
    if (router.now >= cut_at + kDetectionTime) rejected += rejected_now;
    router.advance(100);
  }
  CHECK(rejected == 0);
}

}  // namespace
}  // namespace peridotreach
