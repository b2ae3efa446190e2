#pragma once

// The next step that brings endpoints to what the sheet says they should run.
// Steps are taken a few at a time: no model loses its last copy, and only a
// small part of a service's endpoints is out of service at once.

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "libperidotreach/fleet_config.h"
#include "libperidotreach/fleet_view.h"

namespace peridotreach {

// The part of a service's endpoints that may change at once.
inline constexpr double kMaxChangingFraction = 0.1;

// What an endpoint runs, as read from it: model@version and adapters as
// model@version+adapter, sorted.
struct EndpointModels {
  std::vector<std::string> models;
  bool changing = false;
  bool reachable = false;

  bool operator==(const EndpointModels&) const = default;
};

// One step: `endpoint` should run exactly `runs`.
struct RolloutStep {
  std::string endpoint;
  std::vector<std::string> models;

  bool operator==(const RolloutStep&) const = default;
};

// Returns what each endpoint of `service` in `region` should run. Endpoints
// of a zone are assigned to its places in the sheet's order; those that
// already run a place's model keep it.
std::map<std::string, std::vector<std::string>> desired_models(
    const FleetConfig& config, const FleetView& view,
    const std::string& service, const std::string& region,
    const std::map<std::string, EndpointModels>& present);

// Returns the steps that may be taken now.
std::vector<RolloutStep> next_rollout_steps(
    const std::map<std::string, std::vector<std::string>>& wanted,
    const std::map<std::string, EndpointModels>& present);

}  // namespace peridotreach
