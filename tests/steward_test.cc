// Tests of the steward reducer and of rollouts in virtual time.

#include <catch2/catch.hpp>

#include "libperidotreach/steward_reducer.h"
#include "tests/samples.h"

namespace peridotreach {
namespace {

using samples::effects_of;

// Drives the steward reducer.
class Steward {
 public:
  Steward() : state(initial_steward_state("vm-1", "a", "r")) {
    FleetConfig config = samples::config();
    for (const char* zone : {"a", "b", "c"}) {
      config.places.push_back({zone, "model", "writer", "v2", {}, 4});
    }
    apply(StewardConfigChanged{config});
    apply(StewardViewChanged{samples::view(6)});
  }

  template <class Body>
  std::vector<StewardEffect> apply(Body body) {
    StewardStep step =
        reduce(std::move(state), StewardEvent{now, std::move(body)});
    state = std::move(step.state);
    return step.effects;
  }

  // Answers reads with `runs` of each endpoint while time passes.
  std::vector<SendOrder> pass(Millis duration) {
    std::vector<SendOrder> orders;
    for (Millis passed = 0; passed < duration; passed += 200) {
      now += 200;
      const auto effects = apply(StewardTicked{});
      for (const auto& read : effects_of<ReadEndpointModels>(effects)) {
        apply(EndpointModelsRead{read.endpoint, true, runs[read.endpoint], 0});
      }
      for (const auto& order : effects_of<SendOrder>(effects)) {
        orders.push_back(order);
      }
    }
    return orders;
  }

  StewardState state;
  Millis now = 1000;
  std::map<std::string, std::vector<std::string>> runs;
};

void all_run(Steward& steward, const std::string& run) {
  for (int i = 1; i <= 6; ++i) {
    steward.runs["engine-" + std::to_string(i)] = {run};
  }
}

TEST_CASE("no order is given without the lease", "[steward]") {
  Steward steward;
  all_run(steward, "writer@v1");
  CHECK(steward.pass(10000).empty());
}

TEST_CASE("a new holder waits past the old one's margin", "[steward]") {
  Steward steward;
  all_run(steward, "writer@v1");
  steward.apply(LeaseObtained{"r/model", 7, steward.now});
  CHECK(steward.pass(kStewardLeaseMargin - 200).empty());
  const auto orders = steward.pass(2000);
  REQUIRE_FALSE(orders.empty());
  CHECK(orders[0].fencing_token == 7);
  CHECK(orders[0].models == std::vector<std::string>{"writer@v2"});
}

TEST_CASE("a holder stops by its own clock before the lease can lapse",
          "[steward]") {
  Steward steward;
  all_run(steward, "writer@v1");
  steward.apply(LeaseObtained{"r/model", 7, steward.now});
  steward.pass(kStewardLeaseMargin + 1000);
  steward.now += kStewardLeaseDuration;  // Paused; nothing renewed the lease.
  CHECK(steward.pass(5000).empty());
}

TEST_CASE("an old fencing number stops the holder at once", "[steward]") {
  Steward steward;
  all_run(steward, "writer@v1");
  steward.apply(LeaseObtained{"r/model", 7, steward.now});
  steward.pass(kStewardLeaseMargin + 1000);
  steward.apply(OrderAnswered{"engine-1", false, true});
  CHECK(steward.pass(3000).empty());
}

TEST_CASE("endpoints change one at a time", "[rollout]") {
  Steward steward;
  all_run(steward, "writer@v1");
  steward.apply(LeaseObtained{"r/model", 7, steward.now});
  const auto first = steward.pass(kStewardLeaseMargin + 2000);
  REQUIRE(first.size() == 1);
  steward.runs[first[0].endpoint] = {};  // It loads.
  steward.apply(LeaseObtained{"r/model", 7, steward.now});
  CHECK(steward.pass(4000).empty());
  steward.runs[first[0].endpoint] = {"writer@v2"};
  steward.apply(LeaseObtained{"r/model", 7, steward.now});
  const auto second = steward.pass(4000);
  REQUIRE(second.size() == 1);
  CHECK(second[0].endpoint != first[0].endpoint);
}

TEST_CASE("the last copy of a model is never taken away", "[rollout]") {
  std::map<std::string, EndpointModels> present;
  present["a"] = {{"old@v1"}, false, true};
  present["b"] = {{"new@v1"}, false, true};
  std::map<std::string, std::vector<std::string>> wanted;
  wanted["a"] = {"new@v1"};
  CHECK(next_rollout_steps(wanted, present).empty());
  present["c"] = {{"old@v1"}, false, true};
  CHECK(next_rollout_steps(wanted, present).size() == 1);
}

TEST_CASE("endpoints that run a place's model keep it", "[rollout]") {
  FleetConfig config = samples::config();
  config.places = {{"a", "model", "one", "v1", {}, 1},
                   {"a", "model", "two", "v1", {"x"}, 1}};
  FleetView view;
  for (const char* id : {"e1", "e2"}) {
    EndpointInfo info;
    info.id = id;
    info.service = "model";
    info.zone = "a";
    info.region = "r";
    view.endpoints.push_back(info);
  }
  std::map<std::string, EndpointModels> present;
  present["e1"] = {{"two@v0"}, false, true};
  present["e2"] = {{"one@v0"}, false, true};
  const auto wanted = desired_models(config, view, "model", "r", present);
  CHECK(wanted.at("e2") == std::vector<std::string>{"one@v1"});
  CHECK(wanted.at("e1") == std::vector<std::string>{"two@v1", "two@v1+x"});
}

}  // namespace
}  // namespace peridotreach
