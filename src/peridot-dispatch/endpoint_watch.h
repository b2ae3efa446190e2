#pragma once

// Streams load reports and KV cache events from one endpoint.

#include <functional>
#include <memory>
#include <string>

#include "libperidotreach/dispatch_event.h"
#include "runtime/http_client.h"

namespace peridotreach {

// One watched endpoint and its address. Setting `stopped` ends the watch.
struct EndpointWatch {
  std::string endpoint;
  HttpTarget target;
  bool stopped = false;
};

// Passes an event on to the dispatch reducer.
using DispatchEventSink = std::function<void(DispatchEvent)>;

// Streams events from the endpoint to `post` until the watch is stopped.
// Reconnects when the connection is lost, and reports the endpoint as crashed
// if it does not accept a new connection.
awaitable<void> watch_endpoint(asio::io_context& io,
                               std::shared_ptr<EndpointWatch> watch,
                               DispatchEventSink post);

// Decodes one event of an endpoint's event stream into `event`. Returns false
// if the data is malformed or the event type is unknown.
bool parse_endpoint_event(const std::string& endpoint, const std::string& data,
                          DispatchEvent& event);

}  // namespace peridotreach
