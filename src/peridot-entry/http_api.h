#pragma once

// The HTTP interface of an entry process: towards callers the published
// Responses API, addresses and plain calls; towards operators the admin
// paths.

#include "peridot-entry/entry_node.h"
#include "runtime/http_server.h"

namespace peridotreach {

// Answers one request.
awaitable<void> handle_request(EntryNode& node, HttpExchange& exchange);

}  // namespace peridotreach
