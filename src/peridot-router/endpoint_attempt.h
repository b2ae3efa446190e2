#pragma once

// One attempt of a request at an endpoint: sends it and tells the node how the
// answer comes.

#include <functional>
#include <memory>

#include "libperidotreach/routing/routing_event.h"
#include "peridot-router/request_exchange.h"
#include "peridot-router/wire_format.h"
#include "runtime/http_client.h"

namespace peridotreach {

// An attempt under way. `dropped` is set before its connection is closed on
// purpose.
struct EndpointAttempt {
  explicit EndpointAttempt(asio::io_context& io) : connection(io) {}

  StartAttempt params;
  HttpConnection connection;
  bool cancelled = false;
  // The answer as far as it has come, for the caller.
  CallerResponse response;
};

// Hands an event to the reducer.
using PostRoutingEvent = std::function<void(decltype(RoutingEvent::body))>;

// Runs an attempt to its end. Posts exactly one AttemptEnded unless dropped.
awaitable<void> run_attempt(std::shared_ptr<EndpointAttempt> attempt,
                            std::shared_ptr<RequestExchange> exchange,
                            const WireFormat& format, PostRoutingEvent post);

}  // namespace peridotreach
