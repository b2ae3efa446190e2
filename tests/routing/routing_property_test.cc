// Seeded property tests of the routing reducer: random sequences of events,
// faults among them, against what callers and endpoints must never see.

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "tests/routing/router_harness.h"

namespace peridotreach {
namespace {

using samples::effects_of;
using samples::RouterHarness;

constexpr std::uint32_t kSequences = 200;
constexpr int kSteps = 300;

// What the outside has seen of one request.
struct Seen {
  CallKind kind = CallKind::kStream;
  std::uint32_t last_attempt = 0;
  // Attempts that an endpoint may have run.
  std::uint32_t may_have_run = 0;
  std::set<std::uint32_t> open;
  int outcomes = 0;
  bool moved = false;
};

class World {
 public:
  explicit World(std::uint32_t seed) : random_(seed) {}

  void run() {
    change_allowance();
    for (int i = 0; i < kSteps; ++i) step();
    finish();
  }

  int budgets_checked() const { return checked_; }

 private:
  std::uint64_t draw(std::uint64_t bound) { return random_() % bound; }

  void send(decltype(RoutingEvent::body) body) {
    check(router_.apply(std::move(body)));
  }

  // The keeper of room answers, at times with an endpoint that has gone.
  void answer_room() {
    if (asked_.empty()) return;
    const std::uint64_t request = asked_.back();
    asked_.pop_back();
    const char* const ids[] = {"e1", "e2", "e3", "", "gone"};
    send(PlacementAnswered{request, ids[draw(5)]});
  }

  void step() {
    if (draw(3) != 0) answer_room();
    if (draw(6) == 0) hear();
    switch (draw(10)) {
      case 0:
      case 1:
        arrive();
        return;
      case 2:
      case 3:
      case 4:
        end_attempt();
        return;
      case 5:
        stream_event();
        return;
      case 6:
        change_endpoint();
        return;
      case 7:
        answer_copy();
        return;
      case 8:
        leave();
        return;
      default:
        check(router_.advance(static_cast<Millis>(draw(400))));
    }
  }

  void arrive() {
    const char* const paths[] = {"/stream/1", "/entry/1", "/lookup/1"};
    const CallKind kinds[] = {CallKind::kStream, CallKind::kNonIdempotent,
                              CallKind::kIdempotent};
    const std::uint64_t which = draw(3);
    const std::size_t before = router_.effects.size();
    next_ += 1;
    seen_[next_].kind = kinds[which];
    REQUIRE(router_.send_request_unplaced(paths[which]) == next_);
    check({router_.effects.begin() + static_cast<std::ptrdiff_t>(before),
           router_.effects.end()});
  }

  // Returns an attempt that is under way, with its request; 0 if none is.
  std::pair<std::uint64_t, std::uint32_t> any_attempt() {
    std::vector<std::pair<std::uint64_t, std::uint32_t>> all;
    for (const auto& [key, seen] : seen_) {
      for (const std::uint32_t attempt : seen.open) {
        all.emplace_back(key, attempt);
      }
    }
    if (all.empty()) return {0, 0};
    return all[draw(all.size())];
  }

  void end_attempt() {
    const auto [key, attempt] = any_attempt();
    if (key == 0) return;
    const AttemptOutcome ends[] = {
        AttemptOutcome::kNotSent,     AttemptOutcome::kNotRun,
        AttemptOutcome::kMisdirected, AttemptOutcome::kCompleteResponse,
        AttemptOutcome::kStreamEnded, AttemptOutcome::kBroken};
    AttemptOutcome end = ends[draw(6)];
    Seen& seen = seen_[key];
    const bool opened = opened_.contains({key, attempt});
    if (opened && end != AttemptOutcome::kBroken)
      end = AttemptOutcome::kStreamEnded;
    if (!opened && end == AttemptOutcome::kStreamEnded)
      end = AttemptOutcome::kCompleteResponse;
    const bool ran = end == AttemptOutcome::kCompleteResponse ||
                     end == AttemptOutcome::kBroken ||
                     end == AttemptOutcome::kStreamEnded;
    if (!ran) seen.may_have_run -= 1;
    seen.open.erase(attempt);
    send(AttemptEnded{key, attempt, end, draw(2) == 0 ? 200U : 500U});
  }

  void stream_event() {
    const auto [key, attempt] = any_attempt();
    if (key == 0 || seen_[key].kind != CallKind::kStream) return;
    if (!opened_.contains({key, attempt})) {
      opened_.insert({key, attempt});
      send(StreamOpened{key, attempt});
    }
    events_[key] += 1;
    send(StreamEventReceived{key, attempt, events_[key]});
  }

  void change_endpoint() {
    const char* const ids[] = {"e1", "e2", "e3", "p1", "p2"};
    const std::uint64_t which = draw(5);
    if (draw(4) == 0) {
      send(EndpointUnlisted{ids[which]});
      return;
    }
    EndpointEntry entry =
        samples::sample_endpoint(ids[which], which < 3 ? "engines" : "plain");
    entry.leaving = draw(3) == 0;
    entry.started_at_ms = 1 + draw(2);
    send(EndpointListed{entry});
  }

  // Windows are short, so that sequences pass several of them.
  void change_allowance() {
    send(RetryLimitsChanged{{0.1 * static_cast<double>(draw(4)),
                             static_cast<double>(draw(8)), kSecond}});
  }

  // News of the store, of endpoints and of peers.
  void hear() {
    const char* const ids[] = {"e1", "e2", "e3", "p1", "none"};
    switch (draw(6)) {
      case 0:
        send(StoreReachabilityChanged{draw(2) == 0});
        return;
      case 1:
        send(EndpointLeaving{ids[draw(5)]});
        return;
      case 2:
        if (draw(12) == 0) change_allowance();
        return;
      case 3: {
        PlacementRequirements need;
        need.service = "engines";
        need.projected_tokens = 100 + draw(9000);
        need.prefill_tokens = draw(need.projected_tokens);
        need.rank = static_cast<std::uint32_t>(draw(3));
        need.is_move = draw(2) == 0;
        need.is_late = draw(2) == 0;
        const std::size_t before =
            router_.state.retry_budgets["engines"].retries.size();
        send(PlacementRequested{"vm-2", draw(20), need});
        const std::size_t after =
            router_.state.retry_budgets["engines"].retries.size();
        if (!need.is_move) CHECK(after <= before);
        return;
      }
      case 4:
        send(PeerLost{"vm-2"});
        return;
      default:
        PeerReportReceived use;
        use.peer = "vm-2";
        use.endpoint_usage = {{ids[draw(3)], 2, draw(20000)}};
        use.retry_counts = {{"engines", static_cast<std::uint32_t>(draw(50)),
                             static_cast<std::uint32_t>(draw(50))}};
        use.finished_outputs = {
            {"stream", static_cast<std::uint32_t>(draw(50)), draw(20000)}};
        send(use);
    }
  }

  void answer_copy() {
    for (const auto& [key, request] : router_.state.requests) {
      const MovePhase phase = request.move.phase;
      if (phase == MovePhase::kAwaitingLease && draw(2) == 0) {
        send(CopyLeaseGranted{key, request.endpoint});
        return;
      }
      const bool copies =
          phase == MovePhase::kCopying || phase == MovePhase::kStopping;
      if (!copies || draw(2) == 0) continue;
      CopyFinished answer;
      answer.request = key;
      const unsigned statuses[] = {200, 200, 200, 503, 0};
      answer.status = statuses[draw(5)];
      if (answer.status == 200) answer.handle = "h";
      answer.events_made = request.last_event_id;
      send(answer);
      return;
    }
  }

  void leave() {
    const auto [key, attempt] = any_attempt();
    if (key == 0) return;
    left_.insert(key);
    send(CallerDisconnected{key});
  }

  void check(const std::vector<RoutingEffect>& effects) {
    for (const RoutingEffect& effect : effects) {
      std::visit([this](const auto& body) { look(body); }, effect);
    }
  }

  void look(const StartAttempt& effect) {
    Seen& seen = seen_[effect.request];
    CHECK(seen.outcomes == 0);
    CHECK(effect.attempt > seen.last_attempt);
    CHECK(effect.time_left > 0);
    seen.last_attempt = effect.attempt;
    const bool resumes = !effect.source.handle.empty();
    if (resumes) {
      CHECK(seen.open.empty());
      seen.moved = true;
    } else if (seen.kind != CallKind::kIdempotent) {
      CHECK(seen.may_have_run == 0);
    }
    const auto& target = router_.state.endpoints.at(effect.endpoint);
    CHECK(target.entry.service ==
          (seen.kind == CallKind::kStream ? "engines" : "plain"));
    seen.may_have_run += 1;
    seen.open.insert(effect.attempt);
    check_budget(target.entry.service);
  }

  // What this process repeats stays within what the whole fleet may. Counts
  // from before a change of the allowance may lie above it.
  void check_budget(const std::string& service) {
    const RetryBudgetLimits& allowance = router_.state.config.retry_limits;
    if (!(allowance == allowance_)) {
      allowance_ = allowance;
      allowed_since_ = router_.now;
    }
    if (router_.now - allowed_since_ < allowance.window) return;
    const RetryCounts own = retry_counts_at(
        router_.state.retry_budgets[service], allowance, router_.now);
    std::uint32_t requests = own.requests;
    for (const auto& [peer, told] : router_.state.peer_retry_reports) {
      const auto found = told.counts_by_service.find(service);
      if (found != told.counts_by_service.end())
        requests += found->second.requests;
    }
    // Peers may have told more a moment ago.
    constexpr std::uint32_t kMostTold = 50;
    CHECK(own.retries <=
          allowance.ratio * (requests + kMostTold) + allowance.slack);
    checked_ += 1;
  }

  void look(const CancelAttempt& effect) {
    seen_[effect.request].open.erase(effect.attempt);
  }

  void look(const SendLocalResponse& effect) {
    Seen& seen = seen_[effect.request];
    seen.outcomes += 1;
    const bool promises = effect.status == 503 || effect.status == 429;
    if (promises && seen.kind != CallKind::kIdempotent) {
      CHECK(seen.may_have_run == 0);
    }
  }

  void look(const DeliverResponse& effect) {
    seen_[effect.request].outcomes += 1;
  }
  void look(const FinishStream& effect) { seen_[effect.request].outcomes += 1; }
  void look(const AbortResponse& effect) {
    seen_[effect.request].outcomes += 1;
  }
  void look(const RelayStream& effect) {
    CHECK(seen_[effect.request].outcomes == 0);
  }
  void look(const CopyGeneration& effect) {
    CHECK(seen_[effect.request].kind == CallKind::kStream);
  }
  void look(const RequestPlacement& effect) {
    asked_.push_back(effect.request);
  }
  void look(const AnswerPlacement&) {}
  void look(const RequestCopyLease&) {}
  void look(const ReleaseCopyLease&) {}
  void look(const FreeCopy&) {}
  void look(const RecordDecision&) {}

  // At last everything has timed out: each request has one outcome or its
  // caller left, and nothing stays booked.
  void finish() {
    check(router_.advance(60 * kSecond));
    CHECK(router_.state.requests.empty());
    for (const auto& [key, seen] : seen_) {
      CHECK(seen.outcomes == (left_.contains(key) ? 0 : 1));
    }
    for (const auto& [id, endpoint] : router_.state.endpoints) {
      CHECK(endpoint.own_usage.running_requests == 0);
      CHECK(endpoint.own_usage.projected_tokens == 0);
      CHECK(endpoint.own_usage.pending_prefill_tokens == 0);
      CHECK(endpoint.own_usage.incoming_copies == 0);
    }
  }

  std::mt19937_64 random_;
  RouterHarness router_;
  std::uint64_t next_ = 0;
  std::map<std::uint64_t, Seen> seen_;
  std::map<std::uint64_t, std::int64_t> events_;
  std::set<std::pair<std::uint64_t, std::uint32_t>> opened_;
  std::set<std::uint64_t> left_;
  RetryBudgetLimits allowance_;
  Millis allowed_since_ = 0;
  int checked_ = 0;
  std::vector<std::uint64_t> asked_;
};

TEST_CASE("random faults never break what the router promises",
          "[routing][property]") {
  int budgets_checked = 0;
  for (std::uint32_t seed = 1; seed <= kSequences; ++seed) {
    INFO("seed " << seed);
    World world(seed);
    world.run();
    budgets_checked += world.budgets_checked();
  }
  CHECK(budgets_checked > 100);
}

}  // namespace
}  // namespace peridotreach
