// Tests of endpoints that fail if they have to reject too many requests.

#include <catch2/catch.hpp>

#include "tests/routing/limit_simulation.h"

namespace peridotreach {
namespace {

using samples::LimitSimulation;
using samples::SimulatedCapacity;

// Failures that a service with so many endpoints may have.
std::size_t allowed_failures(std::size_t endpoints) {
  return 2 + endpoints / 10;
}

struct OverloadedFleet {
  std::size_t vms = 0;
  std::size_t endpoints = 0;
  // Demand relative to what the endpoints can take.
  double load = 0;
};

TEST_CASE("endpoints that may reject few calls fail under overload",
          "[limits][!mayfail]") {
  const auto [vms, endpoints, load] =
      GENERATE(OverloadedFleet{8, 3, 1.5}, OverloadedFleet{8, 3, 3.0},
               OverloadedFleet{60, 6, 1.5}, OverloadedFleet{60, 6, 3.0});
  CAPTURE(vms, endpoints, load);
  constexpr Millis kServiceTime = 60;
  constexpr Millis kGracePeriod = 3 * kSecond;
  const SimulatedCapacity capacity{6, 2, 5};
  SimulatedCapacity robust = capacity;
  robust.max_rejections = 100000;
  const double capacity_per_second =
      static_cast<double>(endpoints * capacity.slots) * kSecond / kServiceTime;
  LimitSimulation fleet(vms, endpoints, std::nullopt);
  fleet.bound_capacity(robust, kServiceTime);
  fleet.run(kGracePeriod, 0.5 * capacity_per_second);
  fleet.bound_capacity(capacity, kServiceTime);
  fleet.run(8 * kSecond, load * capacity_per_second);
  CHECK(fleet.failures() <= allowed_failures(endpoints));
}

}  // namespace
}  // namespace peridotreach
