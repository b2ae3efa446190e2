#include "libperidotreach/rollout.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotreach {
namespace {

// Returns the models and adapters of `place`, sorted.
std::vector<std::string> models_of(const PlacePolicy& place) {
  const std::string base = place.model + "@" + place.version;
  std::vector<std::string> models{base};
  for (const std::string& adapter : place.adapters) {
    std::string variant = base;
    variant += '+';
    variant += adapter;
    models.push_back(std::move(variant));
  }
  std::sort(models.begin(), models.end());
  return models;
}

// Returns the model name in model@version or model@version+adapter.
std::string model_of(const std::string& variant) {
  return variant.substr(0, variant.find('@'));
}

bool runs_model(const EndpointModels& endpoint, const std::string& model) {
  return std::any_of(
      endpoint.models.begin(), endpoint.models.end(),
      [&](const std::string& variant) { return model_of(variant) == model; });
}

// Returns the number of endpoints other than `excluded` that serve `model`.
std::size_t serving_copies(const std::map<std::string, EndpointModels>& current,
                           const std::string& model,
                           const std::string& excluded) {
  std::size_t copies = 0;
  for (const auto& [id, endpoint] : current) {
    if (id == excluded || endpoint.changing || !endpoint.reachable) continue;
    if (runs_model(endpoint, model)) copies += 1;
  }
  return copies;
}

// Returns whether changing `endpoint` would take the last copy of a model out
// of service.
bool removes_last_copy(const std::map<std::string, EndpointModels>& current,
                       const std::string& endpoint) {
  for (const std::string& variant : current.at(endpoint).models) {
    if (serving_copies(current, model_of(variant), endpoint) == 0) return true;
  }
  return false;
}

// Removes and returns an endpoint of `unassigned` for a place: one that already
// runs its model, else the first one.
std::string take_endpoint(std::vector<std::string>& unassigned,
                          const std::map<std::string, EndpointModels>& current,
                          const std::string& model) {
  auto chosen = unassigned.begin();
  for (auto it = unassigned.begin(); it != unassigned.end(); ++it) {
    const auto found = current.find(*it);
    if (found == current.end() || !runs_model(found->second, model)) continue;
    chosen = it;
    break;
  }
  std::string endpoint = *chosen;
  unassigned.erase(chosen);
  return endpoint;
}

}  // namespace

std::map<std::string, std::vector<std::string>> desired_models(
    const FleetConfig& config, const FleetView& view,
    const std::string& service, const std::string& region,
    const std::map<std::string, EndpointModels>& current) {
  std::map<std::string, std::vector<std::string>> unassigned;
  for (const EndpointInfo& endpoint : view.endpoints) {
    if (endpoint.service != service || endpoint.region != region) continue;
    if (endpoint.leaving || is_drained(config, endpoint.id)) continue;
    unassigned[endpoint.zone].push_back(endpoint.id);
  }
  std::map<std::string, std::vector<std::string>> desired;
  std::map<std::string, const PlacePolicy*> last_place;
  for (const PlacePolicy& place : config.places) {
    if (place.service != service) continue;
    auto& zone = unassigned[place.zone];
    last_place[place.zone] = &place;
    for (std::uint32_t i = 0; i < place.copies && !zone.empty(); ++i) {
      desired[take_endpoint(zone, current, place.model)] = models_of(place);
    }
  }
  // Endpoints in excess of the configured copies are assigned to the last place
  // of their zone.
  for (const auto& [zone, endpoints] : unassigned) {
    const auto place = last_place.find(zone);
    if (place == last_place.end()) continue;
    for (const std::string& endpoint : endpoints) {
      desired[endpoint] = models_of(*place->second);
    }
  }
  return desired;
}

std::vector<RolloutStep> next_rollout_steps(
    const std::map<std::string, std::vector<std::string>>& desired,
    const std::map<std::string, EndpointModels>& current) {
  std::size_t changing = 0;
  for (const auto& [id, endpoint] : current) {
    if (endpoint.changing) changing += 1;
  }
  const auto max_changing = static_cast<std::size_t>(std::max(
      1.0,
      std::floor(kMaxChangingFraction * static_cast<double>(current.size()))));
  std::vector<RolloutStep> steps;
  std::map<std::string, EndpointModels> planned = current;
  for (const auto& [endpoint, models] : desired) {
    if (changing >= max_changing) break;
    const auto found = planned.find(endpoint);
    if (found == planned.end() || !found->second.reachable) continue;
    if (found->second.changing || found->second.models == models) continue;
    if (removes_last_copy(planned, endpoint)) continue;
    steps.push_back({endpoint, models});
    found->second.changing = true;
    changing += 1;
  }
  return steps;
}

}  // namespace peridotreach
