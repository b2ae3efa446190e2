#pragma once

// HTTP paths for operators: process status, decisions about a request, refusal
// counts, and a graceful stop.

#include "peridot-entry/entry_node.h"
#include "runtime/http_server.h"

namespace peridotreach {

// Serves a request below /admin/. Requires the operator key if one is set.
awaitable<void> serve_admin(EntryNode& node, HttpExchange& exchange);

}  // namespace peridotreach
