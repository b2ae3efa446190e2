#pragma once

// Receives load reports and cache events of one endpoint.

#include <functional>
#include <memory>
#include <string>

#include "libperidotreach/dispatch_event.h"
#include "runtime/http_client.h"

namespace peridotreach {

// Where the endpoint listens; `stopped` ends the watch.
struct EndpointWatch {
  std::string endpoint;
  HttpTarget target;
  bool stopped = false;
};

// Receives the reducer's events.
using DispatchSink = std::function<void(DispatchEvent)>;

// Follows the endpoint until the watch is stopped. A lost connection is
// replaced; if the endpoint does not take a new one it is reported as dead.
awaitable<void> follow_endpoint(asio::io_context& io,
                                std::shared_ptr<EndpointWatch> watch,
                                DispatchSink post);

// Reads one event of an endpoint's stream into `event`. Returns false if it
// is malformed.
bool endpoint_event_from(const std::string& endpoint, const std::string& data,
                         DispatchEvent& event);

}  // namespace peridotreach
