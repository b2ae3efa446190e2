#pragma once

// A process's view of the fleet: entry VMs from their leased registrations and
// endpoints from the platform's VM list. Views may be stale; no correctness
// guarantee depends on two processes having the same view.

#include <cstdint>
#include <string>
#include <vector>

namespace peridotreach {

// An entry VM according to its registration.
struct VmInfo {
  std::string vm;
  std::string zone;
  std::string region;
  std::string address;
  std::uint32_t http_port = 0;
  std::uint32_t entry_port = 0;
  std::uint32_t dispatch_port = 0;
  std::uint64_t incarnation = 0;
  bool leaving = false;

  bool operator==(const VmInfo&) const = default;
};

// An endpoint according to the VM list.
struct EndpointInfo {
  std::string id;
  std::string service;
  std::string zone;
  std::string region;
  std::string address;
  std::uint32_t port = 0;
  bool leaving = false;

  bool operator==(const EndpointInfo&) const = default;
};

// The VM that holds the sessions of `home`, a VM that was shut down as planned
// while it ran as `incarnation`.
struct SuccessorInfo {
  std::string home;
  std::uint64_t incarnation = 0;
  std::string holder;

  bool operator==(const SuccessorInfo&) const = default;
};

// The known VMs, endpoints and session successors. VMs and endpoints are sorted
// by id.
struct FleetView {
  std::vector<VmInfo> vms;
  std::vector<EndpointInfo> endpoints;
  std::vector<SuccessorInfo> successors;

  bool operator==(const FleetView&) const = default;
};

template <class F>
auto inspect(F& f, VmInfo& x) {
  return f(x.vm, x.zone, x.region, x.address, x.http_port, x.entry_port,
           x.dispatch_port, x.incarnation, x.leaving);
}
template <class F>
auto inspect(F& f, EndpointInfo& x) {
  return f(x.id, x.service, x.zone, x.region, x.address, x.port, x.leaving);
}
template <class F>
auto inspect(F& f, SuccessorInfo& x) {
  return f(x.home, x.incarnation, x.holder);
}
template <class F>
auto inspect(F& f, FleetView& x) {
  return f(x.vms, x.endpoints, x.successors);
}

// Return the VM or endpoint with the given id, or null.
const VmInfo* find_vm(const FleetView& view, const std::string& vm);
const EndpointInfo* find_endpoint(const FleetView& view, const std::string& id);

// Returns the name of the VM that holds the sessions of `home`, or an empty
// string if no successor is recorded.
std::string successor_of(const FleetView& view, const std::string& home,
                         std::uint64_t incarnation);

}  // namespace peridotreach
