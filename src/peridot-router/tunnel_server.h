#pragma once

// Opens tunnels to endpoints for peers that do not reach them, and passes bytes
// on in both directions. An end of a connection is passed on as it occurred: a
// response that a reset cut off must not look complete.

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libperidotreach/error.h"
#include "libperidotreach/routing/tunnels.h"
#include "runtime/asio.h"
#include "runtime/http_client.h"
#include "runtime/http_types.h"

namespace peridotreach {

// The head of an endpoint's response that was passed on.
struct TunneledResponse {
  std::string endpoint;
  unsigned status = 0;
  std::vector<HttpHeader> headers;
  // When this process connected to the endpoint.
  Millis connected_at = 0;
};

// What a router decides on and learns from tunnels.
struct TunnelHandlers {
  std::function<TunnelAnswer(const TunnelRequest&)> on_request;
  // Returns where the endpoint listens, none if it is unknown.
  std::function<std::optional<HttpTarget>(const std::string& endpoint)>
      find_endpoint;
  std::function<void(const std::string& endpoint)> on_unreachable;
  std::function<void(const TunneledResponse&)> on_response;
};

class TunnelServer {
 public:
  TunnelServer(asio::io_context& io, TunnelHandlers handlers);

  // Starts to listen for peers. Returns the port.
  Result<std::uint16_t> start(const HttpTarget& listen);

  // Returns the number of tunnels that are open or being opened.
  std::size_t open_tunnels() const { return *open_; }

 private:
  awaitable<void> accept(std::shared_ptr<tcp::acceptor> acceptor);
  awaitable<void> serve(tcp::socket socket);

  asio::io_context& io_;
  TunnelHandlers handlers_;
  std::shared_ptr<std::size_t> open_;
};

}  // namespace peridotreach
