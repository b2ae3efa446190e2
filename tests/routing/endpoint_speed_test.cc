// Tests of the speeds of endpoints: how they are measured, compared and
// reported, and where generations are placed while engines differ.

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "fleet.pb.h"
#include "libperidotreach/routing/report_totals.h"
#include "libperidotreach/routing/service_speeds.h"
#include "libperidotreach/routing/speed_samples.h"
#include "peridot-router/endpoint_speed_cell.h"
#include "tests/routing/flood_simulation.h"
#include "tests/routing/router_harness.h"

namespace peridotreach {
namespace {

using samples::effects_of;
using samples::FloodSimulation;
using samples::RouterHarness;

constexpr std::uint32_t kFastMs = 70;
constexpr std::uint32_t kNormalMs = 112;
constexpr std::uint32_t kSlowMs = 188;

// A router with nine engines: a third of each speed, by the digit of the id.
RouterHarness uneven_fleet() {
  RouterHarness router;
  for (const char* id : {"e4", "e5", "e6", "e7", "e8", "e9"})
    router.apply(EndpointListed{samples::sample_endpoint(id, "engines")});
  return router;
}

std::uint32_t group_time_of(const std::string& engine) {
  const std::uint32_t kTimes[] = {kSlowMs, kNormalMs, kFastMs};
  return kTimes[static_cast<std::size_t>(engine.back() - '1') / 3];
}

PeerReportReceived speed_report() {
  PeerReportReceived report;
  report.peer = "vm-2";
  for (const char* id : {"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"})
    report.speeds.push_back({id, {group_time_of(id), group_time_of(id) * 2}});
  return report;
}

// Places generations and returns how many each engine got.
std::map<std::string, int> place(RouterHarness& router, int count,
                                 std::uint64_t output) {
  std::map<std::string, int> placed;
  for (int i = 0; i < count; ++i) {
    PlacementRequirements requirements;
    requirements.service = "engines";
    requirements.prefill_tokens = 1000;
    requirements.projected_tokens = 1000 + output;
    requirements.rank = output > 100 ? 2 : 0;
    requirements.zone = "a";
    const auto effects = router.apply(PlacementRequested{
        "vm-2", static_cast<std::uint64_t>(i + 1), requirements, ""});
    for (const auto& answer : effects_of<AnswerPlacement>(effects))
      if (!answer.endpoint.empty()) placed[answer.endpoint] += 1;
    // The prompt is prefilled before the next request.
    for (PlacementReservation& reservation : router.state.reservations) {
      reservation.prefill_tokens = 0;
      reservation.expires_at = router.now + kSecond;
    }
  }
  return placed;
}

int sum_of(const std::map<std::string, int>& placed,
           const std::vector<std::string>& engines) {
  int sum = 0;
  for (const std::string& engine : engines) {
    const auto found = placed.find(engine);
    if (found != placed.end()) sum += found->second;
  }
  return sum;
}

// Sends a stream and lets its endpoint answer with events at this interval.
std::string play_stream(RouterHarness& router, Millis interval) {
  const std::uint64_t number = router.send_request("/stream/1");
  const StartAttempt attempt = router.last_attempt(number);
  router.now += 300;
  router.apply(StreamOpened{number, attempt.attempt});
  for (std::int64_t event = 1; event <= 20; ++event) {
    router.now += interval;
    router.apply(StreamEventReceived{number, attempt.attempt, event});
  }
  return attempt.endpoint;
}

// Load explains a factor of 1.4 between a full and an empty engine.
TEST_CASE("engines that differ only by their load count as equal", "[speed]") {
  std::vector<EndpointSpeed> speeds;
  for (std::uint32_t time = 100; time <= 140; time += 5)
    speeds.push_back({time, 2 * time});
  const ServiceSpeeds service = compare_speeds(speeds);
  CHECK_FALSE(service.differ);
  CHECK(slowness(service, {140, 0}) == 1);
  CHECK(slowness(service, {}) == 1);
}

// Prompts that an engine prefills without pause double the time for its events.
TEST_CASE("engines that prefill much count as equal", "[speed]") {
  std::vector<EndpointSpeed> speeds(6, EndpointSpeed{117, 140});
  speeds.insert(speeds.end(), 4, EndpointSpeed{235, 145});
  // Where the prompts in front were not known, a prefill seems longer.
  speeds.insert(speeds.end(), 2, EndpointSpeed{120, 400});
  CHECK_FALSE(compare_speeds(speeds).differ);
}

TEST_CASE("engines of different speed are told apart", "[speed]") {
  std::vector<EndpointSpeed> speeds;
  for (const std::uint32_t time : {kSlowMs, kNormalMs, kFastMs})
    speeds.insert(speeds.end(), 3, EndpointSpeed{time, 2 * time});
  const ServiceSpeeds service = compare_speeds(speeds);
  REQUIRE(service.differ);
  CHECK(slowness(service, {kSlowMs, 0}) > 1.5);
  CHECK(slowness(service, {kNormalMs, 0}) == 1);
  CHECK(slowness(service, {kFastMs, 0}) < 0.7);
  // An engine that has only prefilled is known by that, a new one is not.
  CHECK(slowness(service, {0, 2 * kFastMs}) < 0.7);
  CHECK(slowness(service, {}) > 1.5);
}

TEST_CASE("a few slow moments do not change the measured time", "[speed]") {
  SpeedSamples samples;
  for (int i = 0; i < 12; ++i) add_sample(samples, i % 3 == 0 ? 280 : 112, 100);
  CHECK(lower_quartile(samples, 3, 200) == Approx(112).epsilon(0.05));
  CHECK(lower_quartile(samples, 3, 10 * kSecond) == 0);
  for (int i = 0; i < 12; ++i) add_sample(samples, 448, 300);
  CHECK(lower_quartile(samples, 3, 300) == Approx(448).epsilon(0.05));
}

// Two cells of three engines, of which one is slow, get 2.4 long and as many
// short generations a second.
TEST_CASE("callers' long generations are seldom interrupted", "[speed]") {
  const auto play = [](Millis report_until) {
    FloodSimulation flood({{"long", 3000, 400, 0.6, 2, 4 * kSecond},
                           {"short", 2200, 8, 0.5, 0, 1500}},
                          2);
    flood.make_uneven(report_until);
    flood.play({{0, 0, 1.2, 0, 30 * kSecond},
                {0, 1, 1.2, 0, 30 * kSecond},
                {1, 0, 1.2, 0, 30 * kSecond},
                {1, 1, 1.2, 0, 30 * kSecond}},
               45 * kSecond);
    return flood;
  };
  const FloodSimulation unknown = play(0);
  const FloodSimulation known = play(60 * kSecond);
  // At least three of four interruptions are avoided.
  const double interrupted = 1 - unknown.share_uninterrupted(0);
  CHECK(interrupted > 0.15);
  CHECK(1 - known.share_uninterrupted(0) < interrupted / 4);
  CHECK(known.share_in_time(0) > 0.98);
  CHECK(known.share_in_time(1) > 0.98);
  // All that report speeds are lost after ten seconds.
  CHECK(1 - play(10 * kSecond).share_uninterrupted(0) < interrupted / 4);
}

// Nine engines hold some 70 of these generations, the fast and normal ones 46.
TEST_CASE("long generations fill slow engines last", "[speed]") {
  const std::vector<std::string> slow = {"e1", "e2", "e3"};
  RouterHarness router = uneven_fleet();
  router.apply(speed_report());
  const auto few = place(router, 30, 3000);
  CHECK(sum_of(few, slow) == 0);
  RouterHarness full = uneven_fleet();
  full.apply(speed_report());
  const auto many = place(full, 60, 3000);
  CHECK(sum_of(many, slow) > 0);
  CHECK(sum_of(many, {"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"}) ==
        60);
}

TEST_CASE("short generations go to slow engines that are idle", "[speed]") {
  RouterHarness router = uneven_fleet();
  router.apply(speed_report());
  place(router, 30, 3000);
  CHECK(sum_of(place(router, 6, 8), {"e1", "e2", "e3"}) >= 5);
}

TEST_CASE("an engine that starts anew has to show its speed again", "[speed]") {
  RouterHarness router = uneven_fleet();
  router.apply(speed_report());
  EndpointEntry entry = samples::sample_endpoint("e9", "engines");
  entry.started_at_ms = 2;
  router.apply(EndpointListed{entry});
  CHECK_FALSE(is_known(router.state.endpoints.at("e9").speed));
  CHECK(sum_of(place(router, 20, 3000), {"e9"}) == 0);
}

TEST_CASE("what a lost process said of speeds still holds", "[speed]") {
  RouterHarness router = uneven_fleet();
  router.apply(speed_report());
  router.apply(PeerLost{"vm-2"});
  router.advance(20 * kSecond);
  CHECK(sum_of(place(router, 30, 3000), {"e1", "e2", "e3"}) == 0);
  // The next report replaces it.
  PeerReportReceived report;
  report.peer = "vm-3";
  report.speeds = {{"e1", {kFastMs, 0}}};
  router.apply(report);
  CHECK(router.state.endpoints.at("e1").speed.event_group_ms == kFastMs);
}

TEST_CASE("speeds are reported only while engines differ", "[speed]") {
  RouterHarness router;
  play_stream(router, 28);
  play_stream(router, 30);
  CHECK(reported_speeds(router.state).empty());
  std::string slow;
  for (int i = 0; i < 3; ++i) slow = play_stream(router, 60);
  const auto reported = reported_speeds(router.state);
  REQUIRE(reported.size() >= 2);
  for (const ObservedSpeed& observed : reported) {
    if (observed.endpoint == slow) CHECK(observed.speed.event_group_ms > 200);
  }
}

TEST_CASE("speeds survive the encoding of a digest", "[speed]") {
  const std::vector<ObservedSpeed> speeds = {{"e1", {112, 140}},
                                             {"e2", {0, 250}}};
  proto::RoutingDigest sent;
  encode_speeds(speeds, sent);
  proto::RoutingDigest received;
  REQUIRE(received.ParseFromString(sent.SerializeAsString()));
  CHECK(decode_speeds(received) == speeds);
  CHECK(decode_speeds(proto::RoutingDigest()).empty());
}

TEST_CASE("sums of reports keep the least disturbed speed", "[speed]") {
  ReportTotals totals;
  PeerReportReceived first;
  first.speeds = {{"e1", {200, 0}}};
  PeerReportReceived second;
  second.speeds = {{"e1", {110, 300}}, {"e2", {0, 250}}};
  add_report(totals, first);
  add_report(totals, second);
  const std::vector<ObservedSpeed> expected = {{"e1", {110, 300}},
                                               {"e2", {0, 250}}};
  CHECK(report_of(totals, "zone", 1).speeds == expected);
}

}  // namespace
}  // namespace peridotreach
