// Tests of the pace of engines that have just started or recovered.

#include "libperidotreach/routing/endpoint_pace.h"

#include <catch2/catch.hpp>

#include "tests/routing/router_harness.h"

namespace peridotreach {
namespace {

using samples::effects_of;
using samples::RouterHarness;
using samples::sample_endpoint;

constexpr std::uint64_t kPromptTokens = 3000;
constexpr std::uint64_t kPeerWindow = 7000;
constexpr Millis kStep = 40;

// Plays a flood of prompts at one engine that answers `tokens_per_ms`. Its
// peers answer 10 in a millisecond.
struct PlayedEngine {
  PaceWindow window;
  double tokens_per_ms = 10;
  double pending = 0;
  std::uint64_t most_pending = 0;
  std::uint64_t answered = 0;
  Millis now = 1000;
  Millis ended_at = 0;

  void play(Millis duration, double failures = 0) {
    for (const Millis end = now + duration; now < end; now += kStep) {
      auto pending_tokens = static_cast<std::uint64_t>(pending);
      while (is_paced(window) &&
             allows_prompt(window, pending_tokens, kPromptTokens)) {
        record_paced_grant(window, kPromptTokens, now);
        pending_tokens += kPromptTokens;
      }
      most_pending = std::max(most_pending, pending_tokens);
      const double done =
          std::min(static_cast<double>(pending_tokens), tokens_per_ms * kStep);
      pending = static_cast<double>(pending_tokens) - done;
      answered += static_cast<std::uint64_t>(done);
      const PaceChange change =
          adjust_pace(window, {now, static_cast<std::uint64_t>(pending),
                               static_cast<std::uint64_t>(done), failures, 10,
                               kPeerWindow});
      if (change == PaceChange::kEnded && ended_at == 0) ended_at = now;
    }
  }
};

PlayedEngine started_engine(double tokens_per_ms) {
  PlayedEngine engine;
  engine.tokens_per_ms = tokens_per_ms;
  begin_pace(engine.window, 0, engine.now);
  return engine;
}

TEST_CASE("an engine that answers like its peers soon takes what they take",
          "[pace]") {
  PlayedEngine engine = started_engine(10);
  engine.play(3000);
  CHECK(engine.ended_at > 0);
  CHECK(engine.most_pending <= kPeerWindow + kPromptTokens);
  // It was busy nearly all the time until then: it is not left idle.
  CHECK(static_cast<double>(engine.answered) >=
        0.8 * 10 * static_cast<double>(engine.ended_at - 1000));
}

TEST_CASE("an engine that starts slowly is not flooded", "[pace]") {
  PlayedEngine engine = started_engine(1);
  engine.play(8000);
  CHECK(engine.ended_at == 0);
  // What waits there is answered within the first-byte objective of its
  // generations, which is four seconds at three tokens in a millisecond.
  CHECK(engine.most_pending <= 2 * kPromptTokens);
  CHECK(engine.answered >= 7000);
  SECTION("and gets more once it is fast") {
    engine.tokens_per_ms = 10;
    engine.play(4000);
    CHECK(engine.ended_at > 0);
  }
}

TEST_CASE("a window narrows when the engine fails, and widens again",
          "[pace]") {
  PlayedEngine engine = started_engine(10);
  while (engine.window.tokens == 0) engine.play(kStep);
  const std::uint64_t wide = engine.window.tokens;
  engine.play(kStep, 2);
  CHECK(engine.window.tokens <= wide / 2);
  CHECK(is_paced(engine.window));
  engine.play(5000, 0);
  CHECK(engine.ended_at > 0);
}

TEST_CASE("prompts hidden from reports widen the window as well", "[pace]") {
  PaceWindow window;
  begin_pace(window, 0, 1000);
  record_paced_grant(window, kPromptTokens, 1000);
  CHECK(adjust_pace(window, {1100, 0, 0, 0, 10, kPeerWindow}) ==
        PaceChange::kNone);
  CHECK(adjust_pace(window, {1400, 0, 0, 0, 10, kPeerWindow}) ==
        PaceChange::kWidened);
  CHECK(window.tokens == 2 * kPromptTokens);
}

// Returns a router whose engines start cold for this long; it knows none yet.
RouterHarness cold_start_router(Millis cold_start) {
  RouterHarness router;
  for (const char* id : {"e1", "e2", "e3"}) router.apply(EndpointUnlisted{id});
  Manifest manifest = samples::sample_manifest(9);
  manifest.services.at("engines").cold_start = cold_start;
  router.apply(ManifestReceived{manifest, {1, 9}, "store"});
  return router;
}

EndpointEntry cold_engine(const std::string& id) {
  EndpointEntry entry = sample_endpoint(id, "engines");
  entry.remaining_warm_up = 1000;
  return entry;
}

std::size_t granted_to(RouterHarness& router, const std::string& engine) {
  std::size_t granted = 0;
  for (std::uint64_t request = 1; request <= 12; ++request) {
    PlacementRequirements requirements;
    requirements.service = "engines";
    requirements.projected_tokens = 400;
    requirements.prefill_tokens = 300;
    requirements.rank = 2;
    requirements.zone = "a";
    const auto effects = router.apply(
        PlacementRequested{"vm-2", 100 + request, requirements, ""});
    for (const auto& answer : effects_of<AnswerPlacement>(effects)) {
      if (answer.endpoint == engine) granted += 1;
    }
  }
  return granted;
}

TEST_CASE("an engine that has just started gets one prompt at first",
          "[pace]") {
  RouterHarness router = cold_start_router(1000);
  router.apply(EndpointListed{cold_engine("f1")});
  CHECK(granted_to(router, "f1") == 1);
}

// Reports what awaits its first event at f1.
void report_pending(RouterHarness& router, std::uint64_t tokens) {
  PeerReportReceived report;
  report.peer = "vm-3";
  EndpointUsage usage;
  usage.endpoint = "f1";
  usage.running_requests = 1;
  usage.pending_prefill_tokens = tokens;
  report.endpoint_usage = {usage};
  router.apply(report);
  router.advance(200);
}

TEST_CASE("a started engine gets more prompts as it answers", "[pace]") {
  RouterHarness router = cold_start_router(1000);
  router.apply(EndpointListed{cold_engine("f1")});
  REQUIRE(granted_to(router, "f1") == 1);
  report_pending(router, 300);
  SECTION("answered") {
    report_pending(router, 0);
    router.advance(400);
    CHECK(granted_to(router, "f1") >= 2);
  }
  SECTION("not answered") {
    router.advance(400);
    CHECK(granted_to(router, "f1") == 0);
  }
}

TEST_CASE("engines have no pace where the configuration names no cold start",
          "[pace]") {
  RouterHarness router = cold_start_router(0);
  router.apply(EndpointListed{cold_engine("f1")});
  CHECK(granted_to(router, "f1") > 1);
}

TEST_CASE("a coordinator that takes over begins with what reports show",
          "[pace]") {
  RouterHarness router = cold_start_router(1000);
  router.apply(EndpointListed{cold_engine("f1")});
  PeerReportReceived report;
  report.peer = "vm-3";
  EndpointUsage usage;
  usage.endpoint = "f1";
  usage.running_requests = 1;
  usage.pending_prefill_tokens = 300;
  report.endpoint_usage = {usage};
  router.apply(report);
  CHECK(granted_to(router, "f1") == 0);
}

}  // namespace
}  // namespace peridotreach
