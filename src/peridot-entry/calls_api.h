#pragma once

// Calls to plain services, and the answer to the address question.

#include <string>

#include "libperidotreach/fleet_config.h"
#include "peridot-entry/entry_node.h"
#include "runtime/http_server.h"

namespace peridotreach {

// Answers GET /v1/addresses: addresses with a lifetime, nearest zone first,
// and a session.
awaitable<void> answer_addresses(EntryNode& node, HttpExchange& exchange,
                                 const CallerPolicy& caller);

// Answers a call below /v1/services/; `rest` is the service and its path.
awaitable<void> answer_call(EntryNode& node, HttpExchange& exchange,
                            const CallerPolicy& caller, std::string rest);

}  // namespace peridotreach
