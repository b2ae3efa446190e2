// Tests of the steward reducer and of rollout planning, in virtual time.

#include <catch2/catch.hpp>

#include "libperidotreach/steward_reducer.h"
#include "tests/samples.h"

namespace peridotreach {
namespace {

using samples::effects_of;

// Runs the steward reducer with endpoints that report `models_by_endpoint`.
class StewardHarness {
 public:
  StewardHarness() : state(initial_steward_state("vm-1", "a", "r")) {
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

  // Advances time in steps of 200 ms and answers reads of endpoints. Returns
  // the orders sent.
  std::vector<SendOrder> advance(Millis duration) {
    std::vector<SendOrder> orders;
    for (Millis elapsed = 0; elapsed < duration; elapsed += 200) {
      now += 200;
      const auto effects = apply(StewardTicked{});
      for (const auto& read : effects_of<ReadEndpointModels>(effects)) {
        apply(EndpointModelsRead{read.endpoint, true,
                                 models_by_endpoint[read.endpoint], 0});
      }
      for (const auto& order : effects_of<SendOrder>(effects)) {
        orders.push_back(order);
      }
    }
    return orders;
  }

  StewardState state;
  Millis now = 1000;
  std::map<std::string, std::vector<std::string>> models_by_endpoint;
};

void set_all_models(StewardHarness& steward, const std::string& model) {
  for (int i = 1; i <= 6; ++i) {
    steward.models_by_endpoint["engine-" + std::to_string(i)] = {model};
  }
}

TEST_CASE("steward sends no orders without the lease", "[steward]") {
  StewardHarness steward;
  set_all_models(steward, "writer@v1");
  CHECK(steward.advance(10000).empty());
}

TEST_CASE("new lease holder sends no orders within the lease margin",
          "[steward]") {
  StewardHarness steward;
  set_all_models(steward, "writer@v1");
  steward.apply(LeaseObtained{"r/model", 7, steward.now});
  CHECK(steward.advance(kStewardLeaseMargin - 200).empty());
  const auto orders = steward.advance(2000);
  REQUIRE_FALSE(orders.empty());
  CHECK(orders[0].fencing_token == 7);
  CHECK(orders[0].models == std::vector<std::string>{"writer@v2"});
}

TEST_CASE("lease holder stops sending orders before its lease can expire",
          "[steward]") {
  StewardHarness steward;
  set_all_models(steward, "writer@v1");
  steward.apply(LeaseObtained{"r/model", 7, steward.now});
  steward.advance(kStewardLeaseMargin + 1000);
  steward.now += kStewardLeaseDuration;  // A pause without renewal.
  CHECK(steward.advance(5000).empty());
}

TEST_CASE("refusal of a stale fencing token stops the lease holder at once",
          "[steward]") {
  StewardHarness steward;
  set_all_models(steward, "writer@v1");
  steward.apply(LeaseObtained{"r/model", 7, steward.now});
  steward.advance(kStewardLeaseMargin + 1000);
  steward.apply(OrderAnswered{"engine-1", false, true});
  CHECK(steward.advance(3000).empty());
}

TEST_CASE("endpoints of a small service change one at a time", "[rollout]") {
  StewardHarness steward;
  set_all_models(steward, "writer@v1");
  steward.apply(LeaseObtained{"r/model", 7, steward.now});
  const auto first = steward.advance(kStewardLeaseMargin + 2000);
  REQUIRE(first.size() == 1);
  // The endpoint is loading the model.
  steward.models_by_endpoint[first[0].endpoint] = {};
  steward.apply(LeaseObtained{"r/model", 7, steward.now});
  CHECK(steward.advance(4000).empty());
  steward.models_by_endpoint[first[0].endpoint] = {"writer@v2"};
  steward.apply(LeaseObtained{"r/model", 7, steward.now});
  const auto second = steward.advance(4000);
  REQUIRE(second.size() == 1);
  CHECK(second[0].endpoint != first[0].endpoint);
}

TEST_CASE("rollout never removes the last copy of a model", "[rollout]") {
  std::map<std::string, EndpointModels> current;
  current["a"] = {{"old@v1"}, false, true};
  current["b"] = {{"new@v1"}, false, true};
  std::map<std::string, std::vector<std::string>> desired;
  desired["a"] = {"new@v1"};
  CHECK(next_rollout_steps(desired, current).empty());
  current["c"] = {{"old@v1"}, false, true};
  CHECK(next_rollout_steps(desired, current).size() == 1);
}

TEST_CASE("endpoints that run the model of a place stay assigned to it",
          "[rollout]") {
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
  std::map<std::string, EndpointModels> current;
  current["e1"] = {{"two@v0"}, false, true};
  current["e2"] = {{"one@v0"}, false, true};
  const auto desired = desired_models(config, view, "model", "r", current);
  CHECK(desired.at("e2") == std::vector<std::string>{"one@v1"});
  CHECK(desired.at("e1") == std::vector<std::string>{"two@v1", "two@v1+x"});
}

}  // namespace
}  // namespace peridotreach
