#pragma once

// The connection of a process that reaches no endpoint to one of them, through
// a peer (tunnel_server.h). The peer is asked with HTTP's CONNECT, whose target
// is the id of the endpoint. It names why it opens no tunnel in a header.

#include <string_view>

#include "libperidotreach/routing/routing_event.h"
#include "libperidotreach/routing/tunnels.h"
#include "runtime/http_client.h"

namespace peridotreach {

// Set on a request for a tunnel for a generation that runs already.
inline constexpr std::string_view kResumedHeader = "Peridot-Resumed";
// Why no tunnel is opened: one of the values below.
inline constexpr std::string_view kTunnelFailureHeader =
    "Peridot-Tunnel-Failure";
inline constexpr std::string_view kFailureUnreachable = "endpoint-unreachable";
inline constexpr std::string_view kFailureDeclined = "endpoint-declined";
inline constexpr std::string_view kFailureUnavailable = "unavailable";
// For how many milliseconds the endpoint is declined.
inline constexpr std::string_view kDeclinedForHeader = "Peridot-Declined-Ms";

// Whether a tunnel was opened, and if not, why.
struct TunnelResult {
  bool is_open = false;
  ConnectFailure failure = ConnectFailure::kNoTunnel;
  Millis declined_for = 0;

  bool operator==(const TunnelResult&) const = default;
};

// Connects to an endpoint through `peer`. If the tunnel is open, `connection`
// is used as one to the endpoint.
awaitable<TunnelResult> open_tunnel(HttpConnection& connection, HttpTarget peer,
                                    TunnelRequest request);

}  // namespace peridotreach
