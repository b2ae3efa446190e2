#include "libperidotreach/fleet_view.h"

#include <algorithm>

namespace peridotreach {

const VmInfo* find_vm(const FleetView& view, const std::string& vm) {
  for (const VmInfo& info : view.vms) {
    if (info.vm == vm) return &info;
  }
  return nullptr;
}

const EndpointInfo* find_endpoint(const FleetView& view,
                                  const std::string& id) {
  const auto found = std::lower_bound(
      view.endpoints.begin(), view.endpoints.end(), id,
      [](const EndpointInfo& a, const std::string& b) { return a.id < b; });
  if (found == view.endpoints.end() || found->id != id) return nullptr;
  return &*found;
}

std::string successor_of(const FleetView& view, const std::string& home,
                         std::uint64_t incarnation) {
  for (const SuccessorInfo& info : view.successors) {
    if (info.home == home && info.incarnation == incarnation) {
      return info.holder;
    }
  }
  return {};
}

}  // namespace peridotreach
