// Seeded property tests of the routing reducer: applies random sequences of
// events, including faults, and checks what callers and endpoints observe.

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

// Observations of one request from outside the router.
struct RequestObservation {
  CallKind kind = CallKind::kStream;
  std::uint32_t last_attempt = 0;
  // Attempts that an endpoint may have run.
  std::uint32_t may_have_run = 0;
  std::set<std::uint32_t> open;
  int outcomes = 0;
  bool moved = false;
};

class RouterSimulation {
 public:
  explicit RouterSimulation(std::uint32_t seed) : random_(seed) {}

  void run() {
    change_retry_limits();
    if (random_below(2) == 0) name_cold_rate();
    for (int i = 0; i < kSteps; ++i) step();
    finish();
  }

  int budgets_checked() const { return budgets_checked_; }

 private:
  std::uint64_t random_below(std::uint64_t bound) { return random_() % bound; }

  void apply(decltype(RoutingEvent::body) body) {
    check(router_.apply(std::move(body)));
  }

  // Engines take few requests while they are cold.
  void name_cold_rate() {
    Manifest manifest = samples::sample_manifest(2);
    manifest.services["engines"].cold_start = kSecond;
    manifest.services["engines"].cold_requests_per_second = 5;
    apply(ManifestReceived{manifest, {1, last_revision_++}, "store"});
  }

  // Answers a placement request, sometimes with an endpoint that is gone.
  void answer_placement() {
    if (placement_requests_.empty()) return;
    const std::uint64_t request = placement_requests_.back();
    placement_requests_.pop_back();
    const char* const ids[] = {"e1", "e2", "e3", "", "gone"};
    apply(PlacementAnswered{request, ids[random_below(5)]});
  }

  void step() {
    if (random_below(3) != 0) answer_placement();
    if (random_below(6) == 0) receive_update();
    if (random_below(3) != 0) answer_permits();
    if (random_below(12) == 0) change_limit();
    if (random_below(10) == 0) change_zone();
    switch (random_below(10)) {
      case 0:
      case 1:
        send_request();
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
        disconnect_caller();
        return;
      default:
        check(router_.advance(static_cast<Millis>(random_below(400))));
    }
  }

  void send_request() {
    const char* const paths[] = {"/stream/1", "/entry/1", "/lookup/1"};
    const CallKind kinds[] = {CallKind::kStream, CallKind::kNonIdempotent,
                              CallKind::kIdempotent};
    const std::uint64_t choice = random_below(3);
    const std::size_t before = router_.effects.size();
    last_request_ += 1;
    observations_[last_request_].kind = kinds[choice];
    REQUIRE(router_.send_request_unplaced(paths[choice]) == last_request_);
    check({router_.effects.begin() + static_cast<std::ptrdiff_t>(before),
           router_.effects.end()});
  }

  // Returns a request and its attempt in progress; 0 if there is none.
  std::pair<std::uint64_t, std::uint32_t> any_attempt() {
    std::vector<std::pair<std::uint64_t, std::uint32_t>> all;
    for (const auto& [request, observation] : observations_) {
      for (const std::uint32_t attempt : observation.open) {
        all.emplace_back(request, attempt);
      }
    }
    if (all.empty()) return {0, 0};
    return all[random_below(all.size())];
  }

  void end_attempt() {
    const auto [request, attempt] = any_attempt();
    if (request == 0) return;
    const AttemptOutcome outcomes[] = {
        AttemptOutcome::kNotSent,     AttemptOutcome::kNotRun,
        AttemptOutcome::kMisdirected, AttemptOutcome::kCompleteResponse,
        AttemptOutcome::kStreamEnded, AttemptOutcome::kBroken};
    AttemptOutcome outcome = outcomes[random_below(6)];
    RequestObservation& observation = observations_[request];
    const bool opened = opened_streams_.contains({request, attempt});
    if (opened && outcome != AttemptOutcome::kBroken)
      outcome = AttemptOutcome::kStreamEnded;
    if (!opened && outcome == AttemptOutcome::kStreamEnded)
      outcome = AttemptOutcome::kCompleteResponse;
    const bool ran = outcome == AttemptOutcome::kCompleteResponse ||
                     outcome == AttemptOutcome::kBroken ||
                     outcome == AttemptOutcome::kStreamEnded;
    if (!ran) observation.may_have_run -= 1;
    observation.open.erase(attempt);
    AttemptEnded ended{request, attempt, outcome,
                       random_below(2) == 0 ? 200U : 500U};
    const ConnectFailure failures[] = {ConnectFailure::kEndpointUnreachable,
                                       ConnectFailure::kNoTunnel,
                                       ConnectFailure::kDeclinedByPeer};
    ended.connect_failure = failures[random_below(3)];
    ended.declined_for = static_cast<Millis>(random_below(400));
    apply(ended);
  }

  void stream_event() {
    const auto [request, attempt] = any_attempt();
    if (request == 0 || observations_[request].kind != CallKind::kStream)
      return;
    if (!opened_streams_.contains({request, attempt})) {
      opened_streams_.insert({request, attempt});
      apply(StreamOpened{request, attempt});
    }
    last_event_ids_[request] += 1;
    apply(StreamEventReceived{request, attempt, last_event_ids_[request]});
  }

  void change_endpoint() {
    const char* const ids[] = {"e1", "e2", "e3", "p1", "p2"};
    const std::uint64_t choice = random_below(5);
    if (random_below(4) == 0) {
      apply(EndpointUnlisted{ids[choice]});
      return;
    }
    EndpointEntry entry =
        samples::sample_endpoint(ids[choice], choice < 3 ? "engines" : "plain",
                                 choice % 2 == 0 && choice > 0 ? "b" : "a");
    entry.leaving = random_below(3) == 0;
    entry.remaining_warm_up = static_cast<Millis>(random_below(3) * 400);
    entry.started_at_ms = 1 + random_below(2);
    apply(EndpointListed{entry});
  }

  // Zone a has all endpoints but e3 and p2.
  void change_zone() {
    const std::string zone = random_below(2) == 0 ? "a" : "b";
    const StoreRevision revision{1 + random_below(2), last_revision_++};
    if (random_below(3) == 0) {
      apply(ZoneClosed{zone, revision, "store"});
      return;
    }
    apply(ZoneOpened{zone, revision, "store"});
  }

  // Windows are short, so that a sequence spans several of them.
  void change_retry_limits() {
    apply(RetryLimitsChanged{{0.1 * static_cast<double>(random_below(4)),
                              static_cast<double>(random_below(8)), kSecond}});
  }

  // Applies an update from the store, an endpoint or a peer.
  void receive_update() {
    const char* const ids[] = {"e1", "e2", "e3", "p1", "none"};
    switch (random_below(8)) {
      case 6:
        apply(EndpointPathProbed{});
        return;
      case 7:
        apply(EndpointUnreachable{ids[random_below(5)]});
        return;
      case 0:
        apply(StoreReachabilityChanged{random_below(2) == 0});
        return;
      case 1:
        apply(EndpointLeaving{ids[random_below(5)]});
        return;
      case 2:
        if (random_below(12) == 0) change_retry_limits();
        return;
      case 3: {
        PlacementRequirements requirements;
        requirements.service = "engines";
        requirements.projected_tokens = 100 + random_below(9000);
        requirements.prefill_tokens =
            random_below(requirements.projected_tokens);
        requirements.rank = static_cast<std::uint32_t>(random_below(3));
        requirements.is_move = random_below(2) == 0;
        requirements.is_late = random_below(2) == 0;
        const std::size_t before =
            router_.state.retry_budgets["engines"].retries.size();
        apply(PlacementRequested{"vm-2", random_below(20), requirements});
        const std::size_t after =
            router_.state.retry_budgets["engines"].retries.size();
        if (!requirements.is_move) CHECK(after <= before);
        return;
      }
      case 4:
        apply(PeerLost{"vm-2"});
        return;
      default:
        PeerReportReceived report;
        report.peer = "vm-2";
        report.endpoint_usage = {
            {ids[random_below(3)], 2, random_below(20000)}};
        report.retry_counts = {{"engines",
                                static_cast<std::uint32_t>(random_below(50)),
                                static_cast<std::uint32_t>(random_below(50))}};
        report.finished_outputs = {
            {"stream", static_cast<std::uint32_t>(random_below(50)),
             random_below(20000)}};
        apply(report);
    }
  }

  // An endpoint names a limit, or none, or a peer requests permits for it.
  void change_limit() {
    const char* const ids[] = {"e1", "e2", "e3", "p1", "p2", "none"};
    const char* const id = ids[random_below(6)];
    EndpointNotice notice;
    notice.is_leaving = random_below(6) == 0;
    if (random_below(2) == 0)
      notice.requests_per_second = static_cast<double>(random_below(9)) / 2;
    if (random_below(3) == 0) {
      apply(PermitsRequested{"vm-2",
                             id,
                             1 + static_cast<std::uint32_t>(random_below(4)),
                             {notice.requests_per_second, router_.now},
                             router_.now,
                             0.5});
      return;
    }
    apply(EndpointAnswered{id, notice});
  }

  // Answers the oldest request for permits, at times with a wrong time.
  void answer_permits() {
    if (permit_requests_.empty()) return;
    const RequestPermits request = permit_requests_.front();
    permit_requests_.erase(permit_requests_.begin());
    const auto granted = static_cast<std::uint32_t>(
        random_below(std::uint64_t{request.count} + 1));
    const Millis error = random_below(5) == 0 ? 1 : 0;
    apply(PermitsAnswered{
        request.endpoint,
        {granted, granted > 0 ? 0 : 1 + static_cast<Millis>(random_below(900))},
        request.requested_at - error});
  }

  void answer_copy() {
    for (const auto& [request_number, request] : router_.state.requests) {
      const MovePhase phase = request.move.phase;
      if (phase == MovePhase::kAwaitingLease && random_below(2) == 0) {
        apply(CopyLeaseGranted{request_number, request.endpoint});
        return;
      }
      const bool is_copying =
          phase == MovePhase::kCopying || phase == MovePhase::kStopping;
      if (!is_copying || random_below(2) == 0) continue;
      CopyFinished answer;
      answer.request = request_number;
      const unsigned statuses[] = {200, 200, 200, 503, 0};
      answer.status = statuses[random_below(5)];
      if (answer.status == 200) answer.handle = "h";
      answer.events_made = request.last_event_id;
      apply(answer);
      return;
    }
  }

  void disconnect_caller() {
    const auto [request, attempt] = any_attempt();
    if (request == 0) return;
    disconnected_.insert(request);
    apply(CallerDisconnected{request});
  }

  void check(const std::vector<RoutingEffect>& effects) {
    for (const RoutingEffect& effect : effects) {
      std::visit([this](const auto& body) { check_effect(body); }, effect);
    }
  }

  void check_effect(const ProbeEndpointPath& effect) {
    CHECK(router_.state.endpoint_path.lost_since != 0);
    CHECK(effect.port != 0);
  }

  void check_effect(const StartAttempt& effect) {
    RequestObservation& observation = observations_[effect.request];
    CHECK(observation.outcomes == 0);
    CHECK(effect.attempt > observation.last_attempt);
    CHECK(effect.time_left > 0);
    observation.last_attempt = effect.attempt;
    const bool resumes_generation = !effect.source.handle.empty();
    if (resumes_generation) {
      CHECK(observation.open.empty());
      observation.moved = true;
    } else if (observation.kind != CallKind::kIdempotent) {
      CHECK(observation.may_have_run == 0);
    }
    const auto& target = router_.state.endpoints.at(effect.endpoint);
    CHECK(target.entry.service ==
          (observation.kind == CallKind::kStream ? "engines" : "plain"));
    check_zone(target.entry.zone, resumes_generation);
    observation.may_have_run += 1;
    observation.open.insert(effect.attempt);
    check_budget(target.entry.service);
  }

  // Checks that nothing is sent to a closed zone, except for generations that
  // had been stopped for a move when it was closed.
  void check_zone(const std::string& zone, bool resumes_generation) {
    const auto closed = router_.state.closed_zones.find(zone);
    if (closed == router_.state.closed_zones.end()) return;
    CHECK(resumes_generation);
    CHECK(router_.now - closed->second.closed_at < kClosedZoneGrace);
  }

  // Checks that this process's retries stay within the limits of the whole
  // fleet. Counts from before a change of the limits may exceed the new ones.
  void check_budget(const std::string& service) {
    const RetryBudgetLimits& limits = router_.state.config.retry_limits;
    if (!(limits == retry_limits_)) {
      retry_limits_ = limits;
      retry_limits_changed_at_ = router_.now;
    }
    if (router_.now - retry_limits_changed_at_ < limits.window) return;
    const RetryCounts own = retry_counts_at(
        router_.state.retry_budgets[service], limits, router_.now);
    std::uint32_t requests = own.requests;
    for (const auto& [peer, report] : router_.state.peer_retry_reports) {
      const auto found = report.counts_by_service.find(service);
      if (found != report.counts_by_service.end())
        requests += found->second.requests;
    }
    // Peers may have reported more requests a moment ago.
    constexpr std::uint32_t kMaxUnreportedRequests = 50;
    CHECK(own.retries <=
          limits.ratio * (requests + kMaxUnreportedRequests) + limits.slack);
    budgets_checked_ += 1;
  }

  void check_effect(const CancelAttempt& effect) {
    observations_[effect.request].open.erase(effect.attempt);
  }

  void check_effect(const SendLocalResponse& effect) {
    RequestObservation& observation = observations_[effect.request];
    observation.outcomes += 1;
    const bool promises_not_run = effect.status == 503 || effect.status == 429;
    if (promises_not_run && observation.kind != CallKind::kIdempotent) {
      CHECK(observation.may_have_run == 0);
    }
  }

  void check_effect(const DeliverResponse& effect) {
    observations_[effect.request].outcomes += 1;
  }
  void check_effect(const FinishStream& effect) {
    observations_[effect.request].outcomes += 1;
  }
  void check_effect(const AbortResponse& effect) {
    observations_[effect.request].outcomes += 1;
  }
  void check_effect(const RelayStream& effect) {
    CHECK(observations_[effect.request].outcomes == 0);
  }
  void check_effect(const CopyGeneration& effect) {
    CHECK(observations_[effect.request].kind == CallKind::kStream);
  }
  void check_effect(const RequestPlacement& effect) {
    placement_requests_.push_back(effect.request);
  }
  void check_effect(const RequestPermits& effect) {
    CHECK(effect.count > 0);
    CHECK(effect.count <= kMaxPermitsAtOnce);
    const EndpointState& endpoint = router_.state.endpoints.at(effect.endpoint);
    CHECK((effect.limit.requests_per_second.has_value() ||
           cold_rate(router_.state, endpoint).has_value()));
    permit_requests_.push_back(effect);
  }
  void check_effect(const AnswerPermits& effect) {
    CHECK((effect.grant.permits > 0 || effect.grant.retry_after > 0));
  }
  void check_effect(const AnnounceEndpointLeaving& effect) {
    CHECK(router_.state.endpoints.at(effect.endpoint).leaving_since != 0);
  }
  void check_effect(const ForwardPlacement&) {}
  void check_effect(const AnswerPlacement&) {}
  void check_effect(const RequestCopyLease&) {}
  void check_effect(const ReleaseCopyLease&) {}
  void check_effect(const FreeCopy&) {}
  void check_effect(const RecordDecision&) {}

  // Lets every request time out. Each one must have exactly one outcome, unless
  // its caller disconnected, and no usage may remain.
  void finish() {
    check(router_.advance(60 * kSecond));
    CHECK(router_.state.requests.empty());
    for (const auto& [request, observation] : observations_) {
      CHECK(observation.outcomes == (disconnected_.contains(request) ? 0 : 1));
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
  std::uint64_t last_request_ = 0;
  std::uint64_t last_revision_ = 1;
  std::map<std::uint64_t, RequestObservation> observations_;
  std::map<std::uint64_t, std::int64_t> last_event_ids_;
  std::set<std::pair<std::uint64_t, std::uint32_t>> opened_streams_;
  std::set<std::uint64_t> disconnected_;
  RetryBudgetLimits retry_limits_;
  Millis retry_limits_changed_at_ = 0;
  int budgets_checked_ = 0;
  std::vector<std::uint64_t> placement_requests_;
  std::vector<RequestPermits> permit_requests_;
};

TEST_CASE("random faults do not violate the routing guarantees",
          "[routing][property]") {
  int budgets_checked = 0;
  for (std::uint32_t seed = 1; seed <= kSequences; ++seed) {
    INFO("seed " << seed);
    RouterSimulation world(seed);
    world.run();
    budgets_checked += world.budgets_checked();
  }
  CHECK(budgets_checked > 100);
}

}  // namespace
}  // namespace peridotreach
