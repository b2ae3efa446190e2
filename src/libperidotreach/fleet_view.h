#pragma once

// The view of the fleet: entry VMs from their leased registrations and
// endpoints from the platform's VM list. Views may be stale; nothing that
// must hold depends on two processes having the same one.

#include <cstdint>
#include <string>
#include <vector>

namespace peridotreach {

// An entry VM as its registration states it.
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

// An endpoint as the VM list states it.
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

// Which VM holds the sessions of a home that left in a planned stop.
struct SuccessorInfo {
  std::string home;
  std::uint64_t incarnation = 0;
  std::string holder;

  bool operator==(const SuccessorInfo&) const = default;
};

// All that one process knows of the fleet; VMs and endpoints are sorted by id.
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

// Returns the VM or endpoint with the id, or null.
const VmInfo* find_vm(const FleetView& view, const std::string& vm);
const EndpointInfo* find_endpoint(const FleetView& view, const std::string& id);

// Returns the VM recorded as holding the sessions of `home`, or an empty name.
std::string successor_of(const FleetView& view, const std::string& home,
                         std::uint64_t incarnation);

}  // namespace peridotreach
