#pragma once

// The platform's list of live and leaving VMs, polled with a condition so
// that an unchanged list costs few bytes.

#include <functional>
#include <string>
#include <vector>

#include "libperidotreach/fleet_view.h"
#include "runtime/http_client.h"

namespace peridotreach {

// What the list names: endpoints and the system's own entry VMs.
struct VmListing {
  std::vector<EndpointInfo> endpoints;
  std::vector<VmInfo> entries;
};

// Parses the list. An error leaves the last listing in force.
Result<VmListing> parse_vm_list(const std::string& body);

// Polls the list every `interval` and calls `on_table_change` when it changed.
awaitable<void> poll_vm_list(asio::io_context& io, HttpTarget target,
                             Millis interval,
                             std::function<void(const VmListing&)> on_change);

}  // namespace peridotreach
