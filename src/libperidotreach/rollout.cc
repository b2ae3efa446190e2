#include "libperidotreach/rollout.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotreach {
namespace {

std::vector<std::string> runs_of(const PlacePolicy& place) {
  const std::string base = place.model + "@" + place.version;
  std::vector<std::string> runs{base};
  for (const std::string& adapter : place.adapters) {
    std::string run = base;
    run += '+';
    run += adapter;
    runs.push_back(std::move(run));
  }
  std::sort(runs.begin(), runs.end());
  return runs;
}

std::string model_of(const std::string& run) {
  return run.substr(0, run.find('@'));
}

bool runs_model(const EndpointModels& present, const std::string& model) {
  return std::any_of(
      present.models.begin(), present.models.end(),
      [&](const std::string& run) { return model_of(run) == model; });
}

// Copies of `model` that serve, apart from the endpoint `without`.
std::size_t serving_copies(const std::map<std::string, EndpointModels>& present,
                           const std::string& model,
                           const std::string& without) {
  std::size_t copies = 0;
  for (const auto& [id, runs] : present) {
    if (id == without || runs.changing || !runs.reachable) continue;
    if (runs_model(runs, model)) copies += 1;
  }
  return copies;
}

bool takes_last_copy(const std::map<std::string, EndpointModels>& present,
                     const std::string& endpoint) {
  for (const std::string& run : present.at(endpoint).models) {
    if (serving_copies(present, model_of(run), endpoint) == 0) return true;
  }
  return false;
}

// Takes the next endpoint for a place: one that runs its model already, else
// any that is left.
std::string take_endpoint(std::vector<std::string>& left,
                          const std::map<std::string, EndpointModels>& present,
                          const std::string& model) {
  auto chosen = left.begin();
  for (auto it = left.begin(); it != left.end(); ++it) {
    const auto runs = present.find(*it);
    if (runs == present.end() || !runs_model(runs->second, model)) continue;
    chosen = it;
    break;
  }
  std::string endpoint = *chosen;
  left.erase(chosen);
  return endpoint;
}

}  // namespace

std::map<std::string, std::vector<std::string>> desired_models(
    const FleetConfig& config, const FleetView& view,
    const std::string& service, const std::string& region,
    const std::map<std::string, EndpointModels>& present) {
  std::map<std::string, std::vector<std::string>> left;
  for (const EndpointInfo& endpoint : view.endpoints) {
    if (endpoint.service != service || endpoint.region != region) continue;
    if (endpoint.leaving || is_drained(config, endpoint.id)) continue;
    left[endpoint.zone].push_back(endpoint.id);
  }
  std::map<std::string, std::vector<std::string>> wanted;
  std::map<std::string, const PlacePolicy*> last_place;
  for (const PlacePolicy& place : config.places) {
    if (place.service != service) continue;
    auto& zone = left[place.zone];
    last_place[place.zone] = &place;
    for (std::uint32_t i = 0; i < place.copies && !zone.empty(); ++i) {
      wanted[take_endpoint(zone, present, place.model)] = runs_of(place);
    }
  }
  // Endpoints beyond the copies asked for go to their zone's last place.
  for (const auto& [zone, endpoints] : left) {
    const auto place = last_place.find(zone);
    if (place == last_place.end()) continue;
    for (const std::string& endpoint : endpoints) {
      wanted[endpoint] = runs_of(*place->second);
    }
  }
  return wanted;
}

std::vector<RolloutStep> next_rollout_steps(
    const std::map<std::string, std::vector<std::string>>& wanted,
    const std::map<std::string, EndpointModels>& present) {
  std::size_t changing = 0;
  for (const auto& [id, runs] : present) {
    if (runs.changing) changing += 1;
  }
  const auto most = static_cast<std::size_t>(std::max(
      1.0,
      std::floor(kMaxChangingFraction * static_cast<double>(present.size()))));
  std::vector<RolloutStep> steps;
  std::map<std::string, EndpointModels> after = present;
  for (const auto& [endpoint, runs] : wanted) {
    if (changing >= most) break;
    const auto now = after.find(endpoint);
    if (now == after.end() || !now->second.reachable) continue;
    if (now->second.changing || now->second.models == runs) continue;
    if (takes_last_copy(after, endpoint)) continue;
    steps.push_back({endpoint, runs});
    now->second.changing = true;
    changing += 1;
  }
  return steps;
}

}  // namespace peridotreach
