#pragma once

// HTTP paths of the Responses API: create, stream, resume, retrieve and cancel.

#include <string>

#include "libperidotreach/fleet_config.h"
#include "peridot-entry/entry_node.h"
#include "runtime/http_server.h"

namespace peridotreach {

// Serves POST /v1/responses.
awaitable<void> create_response(EntryNode& node, HttpExchange& exchange,
                                const CallerPolicy& caller);

// Serves the paths below /v1/responses/. `rest` is the response id, followed by
// "/cancel" for a cancellation.
awaitable<void> serve_existing_response(EntryNode& node, HttpExchange& exchange,
                                        const CallerPolicy& caller,
                                        std::string rest);

}  // namespace peridotreach
