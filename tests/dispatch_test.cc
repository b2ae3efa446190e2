// Tests of the dispatch reducer in virtual time: overload, fair shares, memory,
// endpoint losses, crashing requests, late and repeated messages, and credits.

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "tests/samples.h"

namespace peridotreach {
namespace {

using samples::DispatcherHarness;
using samples::effects_of;
using samples::request;

// Enqueues `count` requests of one caller and rank, numbered from `first`.
// Returns the grants.
std::vector<IssueGrant> flood(DispatcherHarness& dispatcher,
                              std::uint64_t first, int count,
                              const std::string& caller,
                              const std::string& rank) {
  std::vector<IssueGrant> grants;
  for (int i = 0; i < count; ++i) {
    const auto item = request(first + static_cast<std::uint64_t>(i), caller,
                              rank, dispatcher.now);
    for (const auto& grant : effects_of<IssueGrant>(dispatcher.enqueue(item))) {
      grants.push_back(grant);
    }
  }
  return grants;
}

// Reports all granted requests as started, with one token each.
void start_all(DispatcherHarness& dispatcher,
               const std::vector<IssueGrant>& grants, const std::string& caller,
               const std::string& rank) {
  for (const IssueGrant& grant : grants) {
    const auto item = request(grant.key.request, caller, rank, dispatcher.now);
    dispatcher.progress(item, grant.endpoint, 1, RunState::kStarted);
  }
}

TEST_CASE("a request in an idle cell is granted at once", "[dispatch]") {
  DispatcherHarness dispatcher;
  dispatcher.start(3, samples::config());
  const auto effects =
      dispatcher.enqueue(request(1, "small", "urgent", dispatcher.now));
  REQUIRE(effects_of<IssueGrant>(effects).size() == 1);
  CHECK(effects_of<IssueGrant>(effects)[0].valid_for == 2000);
}

TEST_CASE("headroom keeps a slot for an urgent request during a bulk flood",
          "[dispatch]") {
  DispatcherHarness dispatcher;
  dispatcher.start(3, samples::config(), 100000);
  const auto bulk = flood(dispatcher, 1, 400, "large", "bulk");
  CHECK(bulk.size() > 20);
  CHECK(bulk.size() < 400);
  start_all(dispatcher, bulk, "large", "bulk");
  const auto effects =
      dispatcher.enqueue(request(5000, "small", "urgent", dispatcher.now));
  CHECK(effects_of<IssueGrant>(effects).size() == 1);
}

TEST_CASE("the baseline policy grants a flood without limit", "[dispatch]") {
  DispatcherHarness dispatcher(DispatchPolicy::kBaseline);
  dispatcher.start(3, samples::config(), 100000);
  CHECK(flood(dispatcher, 1, 400, "large", "bulk").size() == 400);
}

TEST_CASE("bulk requests receive their floor during an urgent flood",
          "[dispatch]") {
  DispatcherHarness dispatcher;
  dispatcher.start(3, samples::config(0.25), 100000);
  std::map<std::string, int> running;
  std::map<std::uint64_t, std::pair<std::string, std::string>> requests;
  std::uint64_t number = 0;
  const auto record_grants = [&](const std::vector<DispatchEffect>& effects) {
    for (const auto& grant : effects_of<IssueGrant>(effects)) {
      requests[grant.key.request].second = grant.endpoint;
    }
  };
  double urgent_tokens = 0;
  double bulk_tokens = 0;
  for (int round = 0; round < 300; ++round) {
    for (const char* rank : {"urgent", "urgent", "urgent", "bulk"}) {
      requests[++number] = {rank, ""};
      record_grants(
          dispatcher.enqueue(request(number, "large", rank, dispatcher.now)));
    }
    record_grants(dispatcher.advance(100));
    int finished = 0;
    for (auto it = requests.begin(); it != requests.end() && finished < 3;) {
      if (it->second.second.empty()) {
        ++it;
        continue;
      }
      const auto item =
          request(it->first, "large", it->second.first, dispatcher.now);
      (it->second.first == "bulk" ? bulk_tokens : urgent_tokens) += 50;
      record_grants(dispatcher.progress(item, it->second.second, 50,
                                        RunState::kFinished));
      it = requests.erase(it);
      finished += 1;
    }
  }
  CHECK(bulk_tokens / (bulk_tokens + urgent_tokens) > 0.25 * 0.95);
  CHECK(bulk_tokens / (bulk_tokens + urgent_tokens) < 0.5);
}

TEST_CASE("a small caller is served next during a large caller's flood",
          "[dispatch]") {
  DispatcherHarness dispatcher;
  dispatcher.start(2, samples::config(), 100000);
  const auto grants = flood(dispatcher, 1, 300, "large", "urgent");
  start_all(dispatcher, grants, "large", "urgent");
  CHECK(effects_of<IssueGrant>(dispatcher.enqueue(request(
                                   9000, "small", "urgent", dispatcher.now)))
            .empty());
  const auto effects = dispatcher.progress(
      request(grants[0].key.request, "large", "urgent", dispatcher.now),
      grants[0].endpoint, 40, RunState::kFinished);
  const auto next = effects_of<IssueGrant>(effects);
  REQUIRE(next.size() == 1);
  CHECK(next[0].key.request == 9000);
}

// Guards against granting the same free memory to several requests before a
// load report shows the first of them.
TEST_CASE("grants do not exceed the projected memory of an endpoint",
          "[dispatch]") {
  DispatcherHarness dispatcher;
  dispatcher.start(1, samples::config(), 3000);
  auto& cell = dispatcher.state.cells.begin()->second;
  for (int i = 0; i < 300; ++i) {
    observe_length(cell.length_model, "bulk", "large", 500);
  }
  const auto grants = flood(dispatcher, 1, 50, "large", "bulk");
  CHECK(grants.size() >= 2);
  CHECK(grants.size() <= 6);
}

TEST_CASE("reported preemptions raise the memory margin", "[dispatch]") {
  DispatcherHarness dispatcher;
  dispatcher.start(1, samples::config(), 3000);
  const double before = dispatcher.state.cells.begin()->second.memory_margin;
  EndpointLoad load = samples::idle_load(3000);
  load.preemptions = 5;
  dispatcher.apply(LoadReported{"engine-1", load});
  CHECK(dispatcher.state.cells.begin()->second.memory_margin > before);
}

TEST_CASE("a request that cannot start in time is refused before its deadline",
          "[dispatch]") {
  DispatcherHarness dispatcher;
  dispatcher.start(1, samples::config(), 100000);
  const auto grants = flood(dispatcher, 1, 100, "large", "urgent");
  start_all(dispatcher, grants, "large", "urgent");
  std::set<std::uint64_t> refused;
  for (int i = 0; i < 40; ++i) {
    for (const auto& refusal :
         effects_of<IssueRefusal>(dispatcher.advance(100))) {
      refused.insert(refusal.key.request);
      CHECK(refusal.kind == RefusalKind::kDeadlineUnreachable);
      CHECK(refusal.retry_after > 0);
    }
  }
  CHECK(refused.size() + grants.size() == 100);
}

TEST_CASE("a leaving endpoint gets no new requests", "[dispatch]") {
  DispatcherHarness dispatcher;
  dispatcher.start(2, samples::config());
  SECTION("leaving in the fleet view") {
    FleetView view = samples::view(2);
    view.endpoints[0].leaving = true;
    dispatcher.apply(DispatchViewChanged{view});
  }
  SECTION("leaving in its load report") {
    EndpointLoad load = samples::idle_load();
    load.leaving = true;
    dispatcher.apply(LoadReported{"engine-1", load});
  }
  SECTION("drained in the configuration") {
    FleetConfig config = samples::config();
    config.revision = 2;
    config.drained = {"engine-1"};
    dispatcher.apply(DispatchConfigChanged{config});
  }
  for (std::uint64_t i = 1; i <= 10; ++i) {
    const auto effects =
        dispatcher.enqueue(request(i, "small", "urgent", dispatcher.now));
    for (const auto& grant : effects_of<IssueGrant>(effects)) {
      CHECK(grant.endpoint == "engine-2");
    }
  }
}

TEST_CASE("a crashing request takes down at most two endpoints", "[dispatch]") {
  DispatcherHarness dispatcher;
  dispatcher.start(6, samples::config());
  int crashed = 0;
  bool quarantined = false;
  for (std::uint64_t i = 1; i <= 6 && !quarantined; ++i) {
    const auto effects = dispatcher.enqueue(
        request(i, "small", "urgent", dispatcher.now, 0xdead));
    for (const auto& refusal : effects_of<IssueRefusal>(effects)) {
      quarantined = refusal.kind == RefusalKind::kQuarantined;
    }
    for (const auto& grant : effects_of<IssueGrant>(effects)) {
      crashed += 1;
      dispatcher.apply(EndpointDown{grant.endpoint, true});
    }
    dispatcher.advance(300);
  }
  CHECK(crashed == 2);
  CHECK(quarantined);
}

TEST_CASE("a request in flight at a crash is cleared when it finishes",
          "[dispatch]") {
  DispatcherHarness dispatcher;
  dispatcher.start(2, samples::config());
  const auto first = effects_of<IssueGrant>(
      dispatcher.enqueue(request(1, "small", "urgent", dispatcher.now, 77)));
  dispatcher.apply(EndpointDown{first[0].endpoint, true});
  const auto again = effects_of<IssueGrant>(
      dispatcher.enqueue(request(2, "small", "urgent", dispatcher.now, 77)));
  REQUIRE(again.size() == 1);
  dispatcher.progress(request(2, "small", "urgent", dispatcher.now, 77),
                      again[0].endpoint, 10, RunState::kFinished);
  CHECK(crash_count(dispatcher.state.cells.begin()->second.quarantine, 77,
                    dispatcher.now) == 0);
}

TEST_CASE("ejection for slowness is limited to a share of the cell",
          "[dispatch]") {
  DispatcherHarness dispatcher;
  dispatcher.start(6, samples::config());
  for (int round = 0; round < 20; ++round) {
    for (int i = 1; i <= 6; ++i) {
      EndpointLoad load = samples::idle_load();
      load.running = 5;
      load.step_ms = i <= 3 ? 200 : 20;
      dispatcher.apply(LoadReported{"engine-" + std::to_string(i), load});
    }
  }
  int ejected = 0;
  for (const auto& [id, endpoint] :
       dispatcher.state.cells.begin()->second.endpoints) {
    const bool is_ejected = availability(endpoint.health, dispatcher.now) !=
                            Availability::kAvailable;
    ejected += is_ejected ? 1 : 0;
  }
  CHECK(ejected <= 1);
}

TEST_CASE("slow steps caused by prefill do not eject an endpoint",
          "[dispatch]") {
  DispatcherHarness dispatcher;
  dispatcher.start(6, samples::config());
  for (int round = 0; round < 60; ++round) {
    for (int i = 1; i <= 6; ++i) {
      EndpointLoad load = samples::idle_load();
      load.running = 3;
      load.step_ms = (round + i) % 3 == 0 ? 40 : 14;
      dispatcher.apply(LoadReported{"engine-" + std::to_string(i), load});
    }
  }
  for (const auto& [id, endpoint] :
       dispatcher.state.cells.begin()->second.endpoints) {
    CHECK(availability(endpoint.health, dispatcher.now) ==
          Availability::kAvailable);
  }
}

TEST_CASE("an engine four times slower than its cell is ejected",
          "[dispatch]") {
  DispatcherHarness dispatcher;
  dispatcher.start(6, samples::config());
  for (int round = 0; round < 20; ++round) {
    for (int i = 1; i <= 6; ++i) {
      EndpointLoad load = samples::idle_load();
      load.running = 5;
      load.step_ms = i == 1 ? 80 : 20;
      dispatcher.apply(LoadReported{"engine-" + std::to_string(i), load});
    }
  }
  const auto& endpoints = dispatcher.state.cells.begin()->second.endpoints;
  CHECK(availability(endpoints.at("engine-1").health, dispatcher.now) ==
        Availability::kUnavailable);
}

TEST_CASE("repeated reports do not queue a request twice", "[dispatch]") {
  DispatcherHarness dispatcher;
  dispatcher.start(1, samples::config());
  const auto item = request(1, "small", "urgent", dispatcher.now);
  CHECK(effects_of<IssueGrant>(dispatcher.apply(EntryReported{
                                   "vm-1", 1, false, {item, item}, {}, {}}))
            .size() >= 1);
  CHECK(dispatcher.state.cells.begin()->second.running.size() == 1);
}

TEST_CASE("a new incarnation of an entry removes requests of the old one",
          "[dispatch]") {
  DispatcherHarness dispatcher;
  dispatcher.start(1, samples::config());
  dispatcher.enqueue(request(1, "small", "urgent", dispatcher.now));
  dispatcher.apply(EntryReported{"vm-1", 2, true, {}, {}, {}});
  CHECK(dispatcher.state.cells.begin()->second.running.empty());
}

TEST_CASE("an unused grant is removed after its lifetime", "[dispatch]") {
  DispatcherHarness dispatcher;
  dispatcher.start(1, samples::config());
  dispatcher.enqueue(request(1, "small", "urgent", dispatcher.now));
  dispatcher.advance(9000);
  CHECK(dispatcher.state.cells.begin()->second.running.empty());
}

TEST_CASE("a new dispatcher rebuilds its state from a full report",
          "[dispatch]") {
  DispatcherHarness dispatcher;
  dispatcher.apply(DispatchConfigChanged{samples::config()});
  dispatcher.apply(DispatchViewChanged{samples::view(2)});
  const auto running = request(1, "small", "urgent", dispatcher.now);
  const auto waiting = request(2, "small", "urgent", dispatcher.now);
  dispatcher.apply(
      EntryReported{"vm-1",
                    1,
                    true,
                    {waiting},
                    {{running, "engine-1", 40, RunState::kStarted}},
                    {}});
  dispatcher.apply(LoadReported{"engine-1", samples::idle_load()});
  CHECK(dispatcher.state.cells.begin()->second.running.size() == 2);
}

TEST_CASE("a dispatcher asks for a full report on an unknown request",
          "[dispatch]") {
  DispatcherHarness dispatcher;
  dispatcher.start(1, samples::config());
  auto unknown = request(50, "small", "urgent", dispatcher.now);
  unknown.cell.clear();
  unknown.caller.clear();
  const auto effects =
      dispatcher.progress(unknown, "engine-1", 128, RunState::kStarted);
  CHECK(effects_of<RequestFullReport>(effects).size() == 1);
}

TEST_CASE(
    "credits are issued without contention and revoked once a request waits",
    "[credits]") {
  DispatcherHarness dispatcher;
  dispatcher.start(2, samples::config(), 100000);
  const auto issued = effects_of<IssueCredits>(dispatcher.advance(3000));
  REQUIRE_FALSE(issued.empty());
  CHECK_FALSE(issued.back().credits.empty());
  std::vector<DispatchEffect> effects;
  for (std::uint64_t i = 1; i <= 200; ++i) {
    const auto more =
        dispatcher.enqueue(request(i, "large", "bulk", dispatcher.now));
    effects.insert(effects.end(), more.begin(), more.end());
  }
  const auto revoked = effects_of<IssueCredits>(effects);
  REQUIRE_FALSE(revoked.empty());
  CHECK(revoked.back().credits.empty());
  CHECK(effects_of<IssueCredits>(dispatcher.advance(1000)).empty());
}

TEST_CASE("credits keep the headroom of more urgent ranks free", "[credits]") {
  DispatcherHarness dispatcher;
  dispatcher.start(1, samples::config(0, 0.5), 100000);
  const auto few = effects_of<IssueCredits>(dispatcher.advance(3000));
  DispatcherHarness other;
  other.start(1, samples::config(0, 0), 100000);
  const auto many = effects_of<IssueCredits>(other.advance(3000));
  REQUIRE_FALSE(few.empty());
  REQUIRE_FALSE(many.empty());
  CHECK(few.back().credits.at(0).count < many.back().credits.at(0).count);
}

TEST_CASE("a request started on a credit is added as running", "[credits]") {
  DispatcherHarness dispatcher;
  dispatcher.start(2, samples::config());
  auto item = request(41, "small", "urgent", dispatcher.now);
  item.cell.clear();
  item.model.clear();
  const auto effects =
      dispatcher.progress(item, "engine-2", 0, RunState::kGranted);
  CHECK(effects_of<RequestFullReport>(effects).empty());
  CHECK(dispatcher.state.cells.begin()->second.running.contains(item.key));
}

TEST_CASE("an endpoint crash revokes all credits", "[credits]") {
  DispatcherHarness dispatcher;
  dispatcher.start(2, samples::config());
  dispatcher.advance(3000);
  const auto grants = effects_of<IssueGrant>(
      dispatcher.enqueue(request(1, "small", "urgent", dispatcher.now)));
  const auto effects =
      dispatcher.apply(EndpointDown{grants.at(0).endpoint, true});
  REQUIRE_FALSE(effects_of<IssueCredits>(effects).empty());
  CHECK(effects_of<IssueCredits>(effects)[0].credits.empty());
}

TEST_CASE("urgent requests do not withdraw grants that a floor guarantees",
          "[dispatch]") {
  DispatcherHarness dispatcher;
  dispatcher.start(1, samples::config(1.0, 0), 100000);
  flood(dispatcher, 1, 100, "large", "bulk");
  const auto effects =
      dispatcher.enqueue(request(900, "small", "urgent", dispatcher.now));
  CHECK(effects_of<IssueWithdrawal>(effects).empty());
}

TEST_CASE("urgent requests withdraw grants that delivered no tokens",
          "[dispatch]") {
  DispatcherHarness dispatcher;
  dispatcher.start(1, samples::config(0, 0), 100000);
  const auto bulk = flood(dispatcher, 1, 100, "large", "bulk");
  REQUIRE_FALSE(bulk.empty());
  const auto effects =
      dispatcher.enqueue(request(900, "small", "urgent", dispatcher.now));
  CHECK(effects_of<IssueWithdrawal>(effects).size() == 1);
}

}  // namespace
}  // namespace peridotreach
