// Tests of the quarantine of prompts whose parts crash engines.

#include "libperidotreach/routing/prompt_quarantine.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "fleet.pb.h"
#include "libperidotreach/quarantine.h"
#include "peridot-router/digest_codec.h"
#include "peridot-router/peer_digest.h"
#include "peridot-router/quarantine_codec.h"
#include "tests/routing/router_harness.h"

namespace peridotreach {
namespace {

using samples::effects_of;
using samples::RouterHarness;
using Parts = std::vector<std::uint64_t>;

// The part that crashes engines, and parts that sound prompts hold too.
constexpr std::uint64_t kCrashing = 0xdead;
constexpr std::uint64_t kShared = 0xa;
constexpr std::uint64_t kSubject = 0xb;

CallerRequest request_with(const Parts& parts) {
  CallerRequest caller_request;
  caller_request.host = "example.test";
  caller_request.path = "/stream/1";
  caller_request.api_key = "key-1";
  caller_request.prompt_parts = parts;
  return caller_request;
}

// Sends a request whose placement the router answers itself. Returns all
// effects.
std::vector<RoutingEffect> send(RouterHarness& router, std::uint64_t number,
                                const Parts& parts) {
  RequestArrived event{number, request_with(parts)};
  event.caller_request.fingerprint = number;
  std::vector<RoutingEffect> effects = router.apply(event);
  const auto later = router.answer_placements(effects);
  effects.insert(effects.end(), later.begin(), later.end());
  return effects;
}

unsigned local_status(const std::vector<RoutingEffect>& effects) {
  const auto answers = effects_of<SendLocalResponse>(effects);
  return answers.empty() ? 0 : answers.back().status;
}

// Records crashes of different engines, a second apart.
void crash(PromptQuarantine& quarantine, const Parts& parts, int count,
           Millis start, std::uint64_t first_engine = 1) {
  for (int i = 0; i < count; ++i)
    record_prompt_crash(quarantine, parts, first_engine + i,
                        start + i * kSecond);
}

// Brings about three crashes of engines by prompts that share a part.
void crash_three_engines(RouterHarness& router) {
  for (std::uint64_t number = 500; number < 503; ++number) {
    send(router, number, {kShared, kSubject, kCrashing});
    router.apply(StreamOpened{number, 1});
    const std::string endpoint = router.last_attempt(number).endpoint;
    router.apply(AttemptEnded{number, 1, AttemptOutcome::kBroken, 200});
    router.state.endpoints.at(endpoint).entry.started_at_ms += 1;
    router.advance(kSecond);
  }
}

TEST_CASE("prompts with a part that crashes engines no longer reach them",
          "[prompts]") {
  RouterHarness router;
  crash_three_engines(router);
  const auto effects = send(router, 600, {kShared, kSubject, kCrashing});
  CHECK(local_status(effects) == 503);
  CHECK(effects_of<StartAttempt>(effects).empty());
}

TEST_CASE("sound prompts with the other parts of crashing ones are served",
          "[prompts]") {
  RouterHarness router;
  crash_three_engines(router);
  CHECK(effects_of<StartAttempt>(send(router, 600, {kShared})).size() == 1);
  CHECK(
      effects_of<StartAttempt>(send(router, 601, {kShared, kSubject})).size() ==
      1);
}

TEST_CASE(
    "a request that waits for capacity is rejected once its prompt is"
    " quarantined",
    "[prompts]") {
  RouterHarness router;
  RequestArrived event{600, request_with({kShared, kCrashing})};
  router.apply(event);
  PromptQuarantine peer;
  crash(peer, {kShared, kCrashing}, 3, router.now);
  router.advance(3 * kSecond);
  event.request = 601;
  router.apply(event);
  router.apply(
      PromptReportReceived{"vm-2", make_report(peer, true, router.now)});
  CHECK(local_status(router.advance(40)) == 503);
  CHECK(router.state.requests.empty());
}

TEST_CASE("a quarantined stream is not sent again after a failed connection",
          "[prompts]") {
  RouterHarness router;
  send(router, 600, {kShared, kCrashing});
  PromptQuarantine peer;
  crash(peer, {kShared, kCrashing}, 3, router.now);
  router.advance(3 * kSecond);
  router.apply(
      PromptReportReceived{"vm-2", make_report(peer, true, router.now)});
  const auto effects =
      router.apply(AttemptEnded{600, 1, AttemptOutcome::kNotSent, 0});
  CHECK(local_status(effects) == 503);
  CHECK(effects_of<StartAttempt>(effects).empty());
}

TEST_CASE("crashes of engines that were leaving say nothing of a prompt",
          "[prompts]") {
  RouterHarness router;
  for (std::uint64_t number = 500; number < 504; ++number) {
    send(router, number, {kCrashing});
    EndpointState& endpoint =
        router.state.endpoints.at(router.last_attempt(number).endpoint);
    endpoint.leaving_since = router.now;
    router.apply(AttemptEnded{number, 1, AttemptOutcome::kBroken, 0});
    endpoint.leaving_since = 0;
    endpoint.entry.started_at_ms += 1;
    router.advance(kSecond);
  }
  CHECK(router.state.prompt_quarantine.crashes.empty());
}

TEST_CASE("a generation that ran on says nothing against its prompt",
          "[prompts]") {
  RouterHarness router;
  send(router, 500, {kShared});
  router.apply(StreamOpened{500, 1});
  router.apply(StreamEventReceived{500, 1, 0});
  router.advance(kSoundAfter);
  router.apply(StreamEventReceived{500, 1, 1});
  router.apply(AttemptEnded{500, 1, AttemptOutcome::kBroken, 200});
  CHECK(router.state.prompt_quarantine.crashes.empty());
  CHECK(router.state.prompt_quarantine.sound_at.contains(kShared));
}

TEST_CASE("a stream whose end is only that of its connection clears nothing",
          "[prompts]") {
  const bool ended_by_connection = GENERATE(true, false);
  RouterHarness router;
  send(router, 500, {kCrashing});
  router.apply(StreamOpened{500, 1});
  router.apply(StreamEventReceived{500, 1, 0});
  router.apply(AttemptEnded{500, 1, AttemptOutcome::kStreamEnded, 200,
                            ended_by_connection});
  CHECK(router.state.prompt_quarantine.sound_at.empty() == ended_by_connection);
}

TEST_CASE("two crashes, or crashes at one moment, are a coincidence",
          "[prompts]") {
  PromptQuarantine quarantine;
  crash(quarantine, {kCrashing}, 2, 1000);
  for (std::uint64_t engine = 10; engine < 20; ++engine)
    record_prompt_crash(quarantine, {kCrashing}, engine, 2010);
  CHECK_FALSE(is_quarantined(quarantine, {kCrashing}));
  record_prompt_crash(quarantine, {kCrashing}, 20, 3000);
  CHECK(is_quarantined(quarantine, {kCrashing}));
}

TEST_CASE("crashes that several processes saw are counted once", "[prompts]") {
  PromptQuarantine quarantine;
  for (Millis at = 1000; at < 5000; at += 500) {
    PromptReport report;
    report.crashes = {{7, {kCrashing}, at}};
    merge_report(quarantine, report, at);
  }
  CHECK_FALSE(is_quarantined(quarantine, {kCrashing}));
}

TEST_CASE("parts on which generations run on are not quarantined",
          "[prompts]") {
  PromptQuarantine quarantine;
  crash(quarantine, {kShared, kSubject, kCrashing}, 2, 1000);
  record_sound_prompt(quarantine, {kShared}, 2500);
  crash(quarantine, {kShared, kSubject, kCrashing}, 1, 3000, 3);
  CHECK(quarantine.patterns ==
        std::vector<PromptPattern>{{kSubject, kCrashing}});
  record_sound_prompt(quarantine, {kSubject}, 3500);
  CHECK(quarantine.patterns == std::vector<PromptPattern>{{kCrashing}});
  record_sound_prompt(quarantine, {kCrashing}, 3600);
  CHECK(quarantine.patterns.empty());
}

TEST_CASE("prompts that began by chance at the same crashes are not blamed",
          "[prompts]") {
  PromptQuarantine quarantine;
  for (std::uint64_t engine = 1; engine <= 5; ++engine) {
    const auto at = static_cast<Millis>(engine) * kSecond;
    record_prompt_crash(quarantine, {kShared, kCrashing}, engine, at);
    if (engine <= 3) record_prompt_crash(quarantine, {kSubject}, engine, at);
  }
  CHECK(is_quarantined(quarantine, {kShared, kCrashing}));
  CHECK_FALSE(is_quarantined(quarantine, {kSubject}));
}

TEST_CASE("a process that restarts learns quarantined prompts from any other",
          "[prompts]") {
  PromptQuarantine witness;
  crash(witness, {kShared, kCrashing}, 4, 1000);
  PromptQuarantine peer;
  merge_report(peer, make_report(witness, false, 5000), 5000);
  const Millis later = 5000 + 2 * kMinute;
  PromptQuarantine restarted;
  const PatternChange change =
      merge_report(restarted, make_report(peer, false, later), later);
  CHECK(change.added == std::vector<PromptPattern>{{kShared, kCrashing}});
  CHECK(is_quarantined(restarted, {kShared, kCrashing}));
}

TEST_CASE("a process reports crashes that others saw only as a relay",
          "[prompts]") {
  PromptQuarantine witness;
  crash(witness, {kCrashing}, 2, 1000);
  PromptQuarantine peer;
  merge_report(peer, make_report(witness, false, 3000), 3000);
  CHECK(make_report(peer, false, 3000).crashes.empty());
  CHECK(make_report(peer, true, 3000).crashes.size() == 2);
}

TEST_CASE("a digest carries times between different clocks", "[prompts]") {
  PeerDigest digest;
  digest.prompts.crashes = {{7, {kShared, kCrashing}, 1000}, {8, {2}, 1700}};
  digest.prompts.sound_at = {{kSubject, 1500}};
  digest.confirmations = {{"a", 1900}, {"b", 1200}};
  proto::RoutingDigest message;
  encode_digest(digest, 2000, message);
  const PeerDigest decoded = decode_digest(message, 52000);
  PromptReport expected = digest.prompts;
  for (PromptCrash& crash : expected.crashes) crash.at += 50000;
  expected.sound_at = {{kSubject, 51500}};
  CHECK(decoded.prompts == expected);
  CHECK(decoded.confirmations ==
        std::vector<TableConfirmation>{{"a", 51900}, {"b", 51200}});
}

// The clock of a process starts at the boot of its VM.
TEST_CASE("crashes before the boot of a VM count there", "[prompts]") {
  PromptQuarantine witness;
  record_sound_prompt(witness, {kShared}, 20'000);
  crash(witness, {kShared, kCrashing}, 3, 30'000);
  REQUIRE(is_quarantined(witness, {kShared, kCrashing}));
  PromptReport report = make_report(witness, true, 40'000);
  for (PromptCrash& reported : report.crashes) reported.at -= 39'500;
  report.sound_at = {{kShared, 20'000 - 39'500}};
  PromptQuarantine booted;
  merge_report(booted, report, 500);
  CHECK(is_quarantined(booted, {kShared, kCrashing}));
}

TEST_CASE("a quarantine that the store keeps outlasts all processes",
          "[prompts]") {
  PromptQuarantine lost;
  crash(lost, {kShared, kCrashing}, 3, 30'000);
  crash(lost, {kSubject}, 1, 31'000);
  record_sound_prompt(lost, {kShared}, 35'000);
  const std::string stored =
      encode_quarantine(pattern_evidence(lost), {36'000, 1'700'000'000'000});
  const auto started = decode_quarantine(stored, {400, 1'700'000'020'000});
  REQUIRE(ok(started));
  CHECK(value(started).crashes.size() == 3);
  PromptQuarantine quarantine;
  merge_report(quarantine, value(started), 400);
  CHECK(quarantine.patterns == lost.patterns);
  CHECK_FALSE(is_quarantined(quarantine, {kShared, kSubject}));
  const auto much_later =
      decode_quarantine(stored, {400, 1'700'000'000'000 + 11 * kMinute});
  REQUIRE(ok(much_later));
  PromptQuarantine expired;
  merge_report(expired, value(much_later), 400);
  CHECK(expired.patterns.empty());
}

TEST_CASE("a stored quarantine that cannot be read is an error", "[prompts]") {
  CHECK_FALSE(ok(decode_quarantine("\xff\xff", {1000, 1000})));
}

TEST_CASE("reports do not change while nothing is learnt", "[prompts]") {
  PromptQuarantine quarantine;
  crash(quarantine, {kShared, kCrashing}, 3, 1000);
  record_sound_prompt(quarantine, {kShared}, 3500);
  const PromptReport report = make_report(quarantine, true, 4000);
  CHECK(report.sound_at.at(kShared) == 3500);
  record_sound_prompt(quarantine, {kShared}, 4500);
  CHECK(make_report(quarantine, true, 5000) == report);
}

TEST_CASE("a quarantine ends when its crashes have expired", "[prompts]") {
  PromptQuarantine quarantine;
  crash(quarantine, {kCrashing}, 3, 1000);
  CHECK(expire_prompts(quarantine, 2000 + kSuspectLifetime).removed ==
        std::vector<PromptPattern>{{kCrashing}});
  expire_prompts(quarantine, 4000 + kSuspectLifetime);
  CHECK(quarantine == PromptQuarantine());
}

TEST_CASE("many crashes of other causes do not evict what explains some",
          "[prompts]") {
  PromptQuarantine quarantine;
  crash(quarantine, {kCrashing}, 3, 1000);
  Millis now = 5000;
  for (std::uint64_t i = 0; i < 3000; ++i) {
    record_prompt_crash(quarantine, {100 + 2 * i, 101 + 2 * i}, 100 + i / 20,
                        now);
    record_sound_prompt(quarantine, {10000 + i}, now);
    now += 20;
  }
  CHECK(is_quarantined(quarantine, {kCrashing}));
  CHECK(quarantine.crashes.size() <= 256);
  CHECK(quarantine.crashed_parts.size() <= 512);
  CHECK(quarantine.sound_at.size() <= 1024);
  const PromptReport report = make_report(quarantine, true, now);
  CHECK(report.crashes.size() == 64);
  PromptQuarantine peer;
  merge_report(peer, report, now);
  CHECK(is_quarantined(peer, {kCrashing}));
}

// A fleet in virtual time: processes report to one another with a delay, and
// engines crash when they begin to write an answer on the crashing part.
class CrashSimulation {
 public:
  struct Outcome {
    int crashes = 0;
    // Requests with the part that reached an engine later than
    // kReportTime after the third crash.
    int late = 0;
    int sound_sent = 0;
    int sound_rejected = 0;
  };

  static constexpr Millis kReportTime = 1500;

  CrashSimulation(std::uint64_t seed, std::size_t processes,
                  double crashing_share)
      : random_(seed), processes_(processes), crashing_share_(crashing_share) {}

  Outcome play(Millis duration) {
    for (now_ = kStep; now_ <= duration; now_ += kStep) {
      exchange_reports();
      for (int i = 0; i < kRequestsPerStep; ++i) send_request();
      finish_requests();
    }
    return outcome_;
  }

 private:
  struct Run {
    std::size_t process;
    std::size_t engine;
    Parts parts;
    Millis began_at;
    bool is_sound = false;
  };

  static constexpr Millis kStep = 50;
  static constexpr Millis kReportInterval = 400;
  static constexpr Millis kRunTime = 4000;
  static constexpr std::size_t kEngines = 24;
  static constexpr int kRequestsPerStep = 2;

  // As over relays: all reports are merged, and all processes get the result.
  void exchange_reports() {
    if (now_ % kReportInterval != 0) return;
    for (const PromptQuarantine& process : processes_)
      merge_report(relay_, make_report(process, false, now_), now_);
    const PromptReport report = make_report(relay_, true, now_);
    for (PromptQuarantine& process : processes_)
      merge_report(process, report, now_);
  }

  void send_request() {
    const std::size_t process = random_() % processes_.size();
    const bool crashes =
        std::uniform_real_distribution<>()(random_) < crashing_share_;
    // Few first parts, more subjects; crashing prompts share both.
    const std::uint64_t first = crashes ? 1 : 1 + random_() % 4;
    const std::uint64_t subject = crashes ? 10 : 10 * first + random_() % 10;
    Parts parts{first, subject};
    if (crashes) parts.push_back(kCrashing);
    if (is_quarantined(processes_[process], parts)) {
      if (!crashes) outcome_.sound_rejected += 1;
      return;
    }
    if (!crashes) outcome_.sound_sent += 1;
    if (crashes && third_crash_at_ > 0 && now_ > third_crash_at_ + kReportTime)
      outcome_.late += 1;
    runs_.push_back({process, random_() % kEngines, parts, now_});
    if (crashes) crash_engine(runs_.back().engine);
  }

  void crash_engine(std::size_t engine) {
    crash_ += 1;
    outcome_.crashes += 1;
    if (outcome_.crashes == 3) third_crash_at_ = now_;
    std::erase_if(runs_, [&](const Run& run) {
      if (run.engine != engine) return false;
      if (!run.is_sound)
        record_prompt_crash(processes_[run.process], run.parts, crash_, now_);
      return true;
    });
  }

  void finish_requests() {
    std::erase_if(runs_, [&](Run& run) {
      if (!run.is_sound && now_ - run.began_at >= kSoundAfter) {
        run.is_sound = true;
        record_sound_prompt(processes_[run.process], run.parts, now_);
      }
      return now_ - run.began_at >= kRunTime;
    });
  }

  std::mt19937_64 random_;
  std::vector<PromptQuarantine> processes_;
  double crashing_share_;
  PromptQuarantine relay_;
  std::vector<Run> runs_;
  Millis now_ = 0;
  Millis third_crash_at_ = 0;
  std::uint64_t crash_ = 0;
  Outcome outcome_;
};

TEST_CASE("a fleet stops a crashing part and serves what shares other parts",
          "[prompts]") {
  for (const double share : {0.02, 0.1, 0.5}) {
    for (const std::size_t processes : {1, 6, 60}) {
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(share, processes, seed);
        const auto outcome =
            CrashSimulation(seed, processes, share).play(30 * kSecond);
        CHECK(outcome.crashes >= 3);
        CHECK(outcome.late <= 3);
        CHECK(outcome.sound_rejected * 100 <= outcome.sound_sent);
      }
    }
  }
}

}  // namespace
}  // namespace peridotreach
