#pragma once

// Paths for operators: status, explanations, refusals, a planned stop.

#include "peridot-entry/entry_node.h"
#include "runtime/http_server.h"

namespace peridotreach {

// Answers a path below /admin/.
awaitable<void> answer_admin(EntryNode& node, HttpExchange& exchange);

}  // namespace peridotreach
