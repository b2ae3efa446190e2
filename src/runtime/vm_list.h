#pragma once

// The platform's list of live and leaving VMs. Polls send the version that is
// already known, so an unchanged list costs few bytes.

#include <functional>
#include <string>
#include <vector>

#include "libperidotreach/fleet_view.h"
#include "runtime/http_client.h"

namespace peridotreach {

// Content of the VM list: endpoints and peridotreach's own entry VMs.
struct VmListing {
  std::vector<EndpointInfo> endpoints;
  std::vector<VmInfo> entry_vms;
};

// Parses the response body of the VM list.
Result<VmListing> parse_vm_list(const std::string& body);

// Polls the list every `interval`, forever, and calls `on_change` with each new
// version. If a poll fails or its response is malformed, the last listing stays
// in use.
awaitable<void> poll_vm_list(asio::io_context& io, HttpTarget target,
                             Millis interval,
                             std::function<void(const VmListing&)> on_change);

}  // namespace peridotreach
