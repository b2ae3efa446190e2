#pragma once

// Plans the rollout steps that bring endpoints to the models that the sheet
// assigns. Steps are taken a few at a time: no model loses its last copy, and
// only a small fraction of a service's endpoints is out of service at once.

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "libperidotreach/fleet_config.h"
#include "libperidotreach/fleet_view.h"

namespace peridotreach {

// Fraction of a service's endpoints that may change at the same time.
inline constexpr double kMaxChangingFraction = 0.1;

// The models that an endpoint reported running, sorted: model@version, and
// adapters as model@version+adapter. `changing` is set while the endpoint is
// loading models or was ordered to change them.
struct EndpointModels {
  std::vector<std::string> models;
  bool changing = false;
  bool reachable = false;

  bool operator==(const EndpointModels&) const = default;
};

// One step: `endpoint` should run exactly `models`.
struct RolloutStep {
  std::string endpoint;
  std::vector<std::string> models;

  bool operator==(const RolloutStep&) const = default;
};

// Returns the models that each endpoint of `service` in `region` should run.
// Endpoints of a zone are assigned to the zone's places in the sheet's order.
// Endpoints that already run a place's model are preferred for it.
std::map<std::string, std::vector<std::string>> desired_models(
    const FleetConfig& config, const FleetView& view,
    const std::string& service, const std::string& region,
    const std::map<std::string, EndpointModels>& current);

// Returns the steps that may be taken now.
std::vector<RolloutStep> next_rollout_steps(
    const std::map<std::string, std::vector<std::string>>& desired,
    const std::map<std::string, EndpointModels>& current);

}  // namespace peridotreach
