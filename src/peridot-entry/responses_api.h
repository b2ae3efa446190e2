#pragma once

// The Responses API: create, stream, resume, retrieve, cancel.

#include <string>

#include "libperidotreach/fleet_config.h"
#include "peridot-entry/entry_node.h"
#include "runtime/http_server.h"

namespace peridotreach {

// Answers POST /v1/responses.
awaitable<void> create_response(EntryNode& node, HttpExchange& exchange,
                                const CallerPolicy& caller);

// Answers the paths below /v1/responses/; `rest` is the id and what follows.
awaitable<void> existing_response(EntryNode& node, HttpExchange& exchange,
                                  const CallerPolicy& caller, std::string rest);

}  // namespace peridotreach
