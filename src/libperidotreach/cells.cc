#include "libperidotreach/cells.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace peridotreach {
namespace {

// Returns the bucket of `endpoint` by rendezvous hashing.
std::size_t choose_bucket(const std::string& endpoint, std::size_t buckets) {
  std::size_t best = 0;
  std::uint64_t best_score = 0;
  for (std::size_t i = 0; i < buckets; ++i) {
    const std::uint64_t score = stable_hash(endpoint, i + 1);
    if (score < best_score) continue;
    best_score = score;
    best = i;
  }
  return best;
}

// Returns the number of buckets for `endpoints`. Rendezvous hashing distributes
// endpoints unevenly, so cells are filled to half of the limit on average and
// seldom exceed it.
std::size_t bucket_count(std::size_t endpoints) {
  if (endpoints <= kMaxCellEndpoints) return 1;
  constexpr std::size_t kMeanCellSize = kMaxCellEndpoints / 2;
  return (endpoints + kMeanCellSize - 1) / kMeanCellSize;
}

}  // namespace

std::uint64_t stable_hash(const std::string& text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::vector<Cell> cells_of(const FleetView& view) {
  std::map<std::pair<std::string, std::string>, std::vector<std::string>>
      groups;
  for (const EndpointInfo& endpoint : view.endpoints) {
    groups[{endpoint.service, endpoint.region}].push_back(endpoint.id);
  }
  std::vector<Cell> cells;
  for (const auto& [key, ids] : groups) {
    const std::size_t buckets = bucket_count(ids.size());
    std::vector<Cell> group(buckets);
    for (std::size_t i = 0; i < buckets; ++i) {
      group[i].id = key.first + "/" + key.second + "/" + std::to_string(i);
      group[i].service = key.first;
      group[i].region = key.second;
    }
    for (const std::string& id : ids) {
      group[choose_bucket(id, buckets)].endpoints.push_back(id);
    }
    for (Cell& cell : group) {
      if (cell.endpoints.empty()) continue;
      cells.push_back(std::move(cell));
    }
  }
  return cells;
}

std::vector<std::string> dispatcher_preference(const std::string& cell_id,
                                               const std::string& region,
                                               const FleetView& view) {
  const bool region_has_vm =
      std::any_of(view.vms.begin(), view.vms.end(),
                  [&](const VmInfo& vm) { return vm.region == region; });
  std::vector<std::tuple<bool, std::uint64_t, std::string>> scored;
  for (const VmInfo& vm : view.vms) {
    if (region_has_vm && vm.region != region) continue;
    scored.emplace_back(!vm.leaving, stable_hash(cell_id + "@" + vm.vm), vm.vm);
  }
  std::sort(scored.rbegin(), scored.rend());
  std::vector<std::string> order;
  order.reserve(scored.size());
  for (const auto& entry : scored) order.push_back(std::get<2>(entry));
  return order;
}

}  // namespace peridotreach
