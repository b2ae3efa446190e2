// Tests of planned stops: each request gets a true outcome before the process
// ends.

#include "libperidotreach/routing/planned_stop.h"

#include <catch2/catch.hpp>

#include "tests/routing/router_harness.h"

namespace peridotreach {
namespace {

using samples::effects_of;
using samples::RouterHarness;

constexpr Millis kGrace = 8 * kSecond;

unsigned status_of(const std::vector<RoutingEffect>& effects) {
  const auto answers = effects_of<SendLocalResponse>(effects);
  return answers.empty() ? 0 : answers.back().status;
}

// Returns a request on `path` whose caller waits for `timeout`.
RequestArrived arrival(std::uint64_t request, const std::string& path,
                       Millis timeout) {
  RequestArrived event;
  event.request = request;
  event.caller_request.host = "example.test";
  event.caller_request.path = path;
  event.caller_request.api_key = "key-1";
  event.caller_request.timeout = timeout;
  event.caller_request.max_output_tokens = 2000;
  return event;
}

// Advances in ticks and returns all effects.
std::vector<RoutingEffect> run_for(RouterHarness& router, Millis duration) {
  constexpr Millis kTick = 40;
  std::vector<RoutingEffect> effects;
  for (Millis passed = 0; passed < duration; passed += kTick) {
    for (RoutingEffect& effect : router.advance(kTick))
      effects.push_back(std::move(effect));
  }
  return effects;
}

TEST_CASE("a stop takes its parts in order for each grace period", "[stop]") {
  for (const Millis grace : {kSecond, 3 * kSecond, kGrace, 60 * kSecond}) {
    const StopSchedule schedule = stop_schedule(grace);
    CHECK(schedule.close_idle_after <= schedule.accept_until);
    CHECK(schedule.accept_until <= schedule.answer_by);
    CHECK(schedule.end_after <= schedule.end_by);
    CHECK(schedule.answer_by < schedule.end_by);
    CHECK(schedule.end_by < grace);
  }
}

TEST_CASE("each stage of a request has an action for the time left", "[stop]") {
  using Stage = RequestStage;
  using Action = StopAction;
  CHECK(stop_action(Stage::kBeingRead, 1, 0) == Action::kContinue);
  CHECK(stop_action(Stage::kBeingRead, 0, 0) == Action::kClose);
  CHECK(stop_action(Stage::kQueued, 500, 500) == Action::kContinue);
  CHECK(stop_action(Stage::kQueued, 500, 501) == Action::kReject);
  CHECK(stop_action(Stage::kQueued, 0, 0) == Action::kReject);
  CHECK(stop_action(Stage::kSent, 1, 9000) == Action::kContinue);
  CHECK(stop_action(Stage::kSent, 0, 0) == Action::kFail);
  CHECK(stop_action(Stage::kStreaming, 1, 9000) == Action::kContinue);
  CHECK(stop_action(Stage::kStreaming, 0, 0) == Action::kBreakOff);
}

TEST_CASE("calls and late streams need the time up to their deadline",
          "[stop]") {
  CHECK(time_needed({CallKind::kNonIdempotent, -100, 1500, 0}) == 1500);
  CHECK(time_needed({CallKind::kStream, 3000, 39000, 8}) == 39000);
  CHECK(time_needed({CallKind::kStream, 100, 39000, 8}) < kSecond);
  CHECK(time_needed({CallKind::kStream, -100, 39000, 900}) > kGrace);
  CHECK(time_needed({CallKind::kStream, -100, 2000, 900}) == 2000);
}

// Streams that waited for an engine when the process stopped were neither
// placed nor answered before it ended.
TEST_CASE("queued streams that cannot end in time are rejected at a stop",
          "[stop]") {
  RouterHarness router;
  router.apply(arrival(7, "/stream/1", 39000));
  REQUIRE(router.state.requests.size() == 1);
  const auto effects = router.apply(StopRequested{kGrace});
  CHECK(status_of(effects) == 503);
  CHECK(effects_of<StartAttempt>(effects).empty());
  CHECK(router.state.requests.empty());
}

TEST_CASE("a queued stream waits during a stop while it can end in time",
          "[stop]") {
  RouterHarness router;
  RequestArrived event = arrival(7, "/stream/1", 39000);
  event.caller_request.max_output_tokens = 16;
  router.apply(event);
  CHECK(status_of(router.apply(StopRequested{kGrace})) == 0);
  REQUIRE(router.state.requests.size() == 1);
  PeerReportReceived full_engines;
  full_engines.peer = "vm-2";
  full_engines.endpoint_usage = {
      {"e1", 8, 33000}, {"e2", 8, 33000}, {"e3", 8, 33000}};
  router.apply(full_engines);
  router.state.requests.begin()->second.placement_deadline += 60 * kSecond;
  const Millis answer_by = stop_schedule(kGrace).answer_by;
  CHECK(status_of(run_for(router, answer_by)) == 503);
}

// A stream that arrived late in a stop was placed and broken off at its end.
TEST_CASE("late streams are rejected unless their deadline is in time",
          "[stop]") {
  RouterHarness router;
  router.apply(StopRequested{kGrace});
  run_for(router, 3400);
  CHECK(status_of(router.apply(arrival(7, "/stream/1", 39000))) == 503);
  CHECK(router.state.requests.empty());
  CHECK(status_of(router.apply(arrival(8, "/stream/1", 2000))) == 0);
  CHECK(router.state.requests.size() == 1);
}

TEST_CASE("calls are taken as long as their deadline is in time", "[stop]") {
  RouterHarness router;
  router.apply(StopRequested{kGrace});
  run_for(router, 4000);
  const auto taken = router.apply(arrival(7, "/entry/1", 1500));
  CHECK(effects_of<StartAttempt>(taken).size() == 1);
  run_for(router, 3000);
  const auto rejected = router.apply(arrival(8, "/entry/1", 1500));
  CHECK(status_of(rejected) == 503);
  CHECK(effects_of<StartAttempt>(rejected).empty());
}

TEST_CASE("requests at endpoints get a true outcome at the end of a stop",
          "[stop]") {
  RouterHarness router;
  const std::uint64_t call = router.send_request("/entry/1");
  const std::uint64_t stream = router.send_request("/stream/1");
  router.apply(StreamOpened{stream, router.last_attempt(stream).attempt});
  router.state.requests.at(call).deadline += 60 * kSecond;
  router.state.requests.at(stream).deadline += 60 * kSecond;
  router.apply(StopRequested{kGrace});
  const auto effects = run_for(router, stop_schedule(kGrace).answer_by);
  const auto answers = effects_of<SendLocalResponse>(effects);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].request == call);
  CHECK(answers[0].status == 502);
  const auto aborted = effects_of<AbortResponse>(effects);
  REQUIRE(aborted.size() == 1);
  CHECK(aborted[0].request == stream);
  CHECK(effects_of<CancelAttempt>(effects).size() == 2);
  CHECK(router.state.requests.empty());
}

TEST_CASE("callers are sent to another process at once if there is one",
          "[stop]") {
  RouterHarness router;
  router.apply(StopRequested{kGrace});
  const auto alone =
      effects_of<SendLocalResponse>(router.apply(arrival(7, "/stream/1", 0)));
  REQUIRE(alone.size() == 1);
  CHECK(alone[0].retry_after > stop_schedule(kGrace).answer_by);
  PeerReportReceived report;
  report.peer = "vm-2";
  router.apply(report);
  const auto beside =
      effects_of<SendLocalResponse>(router.apply(arrival(8, "/stream/1", 0)));
  REQUIRE(beside.size() == 1);
  CHECK(beside[0].retry_after < kSecond);
}

}  // namespace
}  // namespace peridotreach
