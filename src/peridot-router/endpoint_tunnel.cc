#include "peridot-router/endpoint_tunnel.h"

#include <algorithm>
#include <cstdlib>
#include <string>
#include <utility>

namespace peridotreach {
namespace {

// Time to connect to a peer and to send it the request.
constexpr Millis kPeerTimeout = 400;

// Time for the peer to answer, in which it connects to the endpoint.
constexpr Millis kAnswerTimeout = 600;

constexpr unsigned kOpenStatus = 200;

// The longest time for which a peer may decline an endpoint.
constexpr Millis kMaxDeclined = 10 * kSecond;

}  // namespace

awaitable<TunnelResult> open_tunnel(HttpConnection& connection, HttpTarget peer,
                                    TunnelRequest request) {
  TunnelResult result;
  if (!co_await connection.connect(std::move(peer), kPeerTimeout))
    co_return result;
  ClientRequest message;
  message.method = "CONNECT";
  message.target = message.host = request.endpoint;
  message.content_type.clear();
  if (request.is_resumed)
    message.headers.push_back({std::string(kResumedHeader), "1"});
  if (!co_await connection.send(std::move(message), kPeerTimeout))
    co_return result;
  const unsigned status = co_await connection.read_head(kAnswerTimeout);
  result.is_open = status == kOpenStatus;
  if (status == 0 || result.is_open) co_return result;
  const std::string failure =
      connection.header(std::string(kTunnelFailureHeader));
  if (failure == kFailureUnreachable)
    result.failure = ConnectFailure::kEndpointUnreachable;
  if (failure == kFailureDeclined) {
    const std::string declined_for =
        connection.header(std::string(kDeclinedForHeader));
    result.failure = ConnectFailure::kDeclinedByPeer;
    result.declined_for = std::clamp<Millis>(
        std::strtoll(declined_for.c_str(), nullptr, 10), 0, kMaxDeclined);
  }
  co_return result;
}

}  // namespace peridotreach
