#pragma once

// Tunnels through peers to endpoints that this process does not reach
// (endpoint_path.h): which peer is asked, and which tunnels this process opens
// for others. The process that has a request decides on everything else; the
// one in between passes bytes on.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "libperidotreach/routing/peer_view.h"
#include "libperidotreach/routing/routing_state.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// Peers that have not opened a tunnel lately, and until when they are not
// asked.
using UnavailableTunnelPeers = std::map<std::string, Millis>;

// Records that `vm` has opened no tunnel.
void mark_unavailable(UnavailableTunnelPeers& unavailable,
                      const std::string& vm, Millis now);

// Returns the peer that is asked for a tunnel; none if there is no other
// process. Those in the zone of `self` are preferred, unless several of them
// were unavailable: a zone may be cut off as a whole. `draw` spreads the
// choices by the processor shares of the peers.
std::optional<PeerRecord> choose_tunnel_peer(
    const PeerView& view, const PeerRecord& self,
    const UnavailableTunnelPeers& unavailable, Millis now, std::uint64_t draw);

// A request for a tunnel.
struct TunnelRequest {
  std::string endpoint;
  // It is for a generation that runs already, which a leaving endpoint may go
  // on with.
  bool is_resumed = false;

  bool operator==(const TunnelRequest&) const = default;
};

enum class TunnelVerdict : std::uint8_t {
  kOpen,
  // This process cannot open tunnels now; another one may.
  kUnavailable,
  // It sends nothing to that endpoint.
  kDeclined,
};

struct TunnelAnswer {
  TunnelVerdict verdict = TunnelVerdict::kUnavailable;
  // How long the endpoint is declined.
  Millis retry_after = 0;

  bool operator==(const TunnelAnswer&) const = default;
};

// Returns whether this process opens a tunnel for a peer while it has
// `open_tunnels` of `max_tunnels`. What binds its own requests binds those of
// others: what endpoints say of themselves is kept by each process.
TunnelAnswer answer_tunnel_request(const RoutingState& state,
                                   const TunnelRequest& request,
                                   std::size_t open_tunnels,
                                   std::size_t max_tunnels);

// Returns how many tunnels a process opens that may use `memory_limit` bytes
// and `socket_limit` sockets; 0 stands for an unknown limit.
std::size_t max_tunnels(std::size_t memory_limit, std::size_t socket_limit);

}  // namespace peridotreach
