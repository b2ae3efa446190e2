#pragma once

// HTTP paths for calls to plain services and for the discovery of entry
// addresses.

#include <string>

#include "libperidotreach/fleet_config.h"
#include "peridot-entry/entry_node.h"
#include "runtime/http_server.h"

namespace peridotreach {

// Serves GET /v1/addresses: the addresses of usable entry VMs with their time
// to live, those of the requested zone first, and a new session.
awaitable<void> serve_addresses(EntryNode& node, HttpExchange& exchange,
                                const CallerPolicy& caller);

// Serves a call below /v1/services/. `rest` is the service's name followed by
// the path to call on it.
awaitable<void> serve_call(EntryNode& node, HttpExchange& exchange,
                           const CallerPolicy& caller, std::string rest);

}  // namespace peridotreach
