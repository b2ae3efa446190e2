#pragma once

// Settings that the endpoint stand-ins share, and their entry in the VM list.

#include <cstdint>
#include <vector>

#include "runtime/asio.h"
#include "runtime/settings.h"

namespace peridotreach::standin {

// Returns the settings of every endpoint stand-in.
std::vector<Setting> endpoint_settings();

// Enters the endpoint into the platform's VM list, in the background.
void register_endpoint(asio::io_context& io, const Settings& settings,
                       std::uint16_t port);

}  // namespace peridotreach::standin
