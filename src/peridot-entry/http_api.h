#pragma once

// The HTTP interface of an entry process. Callers use the Responses API, the
// address list and the calls to plain services; operators use health, metrics
// and admin paths.

#include "peridot-entry/entry_node.h"
#include "runtime/http_server.h"

namespace peridotreach {

// Serves one HTTP request: authenticates it and routes it by its path.
awaitable<void> handle_request(EntryNode& node, HttpExchange& exchange);

}  // namespace peridotreach
