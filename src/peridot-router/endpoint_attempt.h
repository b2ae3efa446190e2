#pragma once

// An attempt to run a request at an endpoint: sends the request and reports the
// response to the router node.

#include <functional>
#include <memory>
#include <optional>

#include "libperidotreach/routing/routing_event.h"
#include "peridot-router/request_exchange.h"
#include "peridot-router/wire_format.h"
#include "runtime/http_client.h"

namespace peridotreach {

// An attempt in flight.
struct EndpointAttempt {
  explicit EndpointAttempt(asio::io_context& io) : connection(io) {}

  StartAttempt params;
  HttpConnection connection;
  // The peer through which the request is sent; none if it is sent directly, or
  // if there is no such peer.
  std::optional<HttpTarget> tunnel_peer;
  // Called if that peer opens no tunnel.
  std::function<void()> on_no_tunnel;
  // Set before the router closes the connection itself.
  bool cancelled = false;
  // The whole request was sent.
  bool is_request_sent = false;
  // The part of the response received so far, in the form sent to the caller.
  CallerResponse response;
  // Called with the bytes that are held of the response when they change.
  std::function<void(std::size_t)> on_held;
  // Called if the caller does not take the stream.
  std::function<void()> on_caller_stalled;
};

// Returns what the endpoint says of itself in the head of a response, none if
// the response is not its own.
std::optional<EndpointNotice> endpoint_notice(const ResponseInfo& info,
                                              unsigned status);

// Passes an event to the reducer.
using PostRoutingEvent = std::function<void(decltype(RoutingEvent::body))>;

// Runs an attempt until it ends. Posts exactly one AttemptEnded unless the
// attempt is cancelled.
awaitable<void> run_attempt(std::shared_ptr<EndpointAttempt> attempt,
                            std::shared_ptr<RequestExchange> exchange,
                            const WireFormat& format, PostRoutingEvent post);

}  // namespace peridotreach
