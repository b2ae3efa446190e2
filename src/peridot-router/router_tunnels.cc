// The part of a router that reaches endpoints through peers, and opens tunnels
// to endpoints for them.

#include <algorithm>
#include <utility>

#include "peridot-router/endpoint_tunnel.h"
#include "peridot-router/router_node.h"
#include "runtime/clock.h"

namespace peridotreach {
namespace {

// Time for a connection that probes the path to endpoints.
constexpr Millis kProbeTimeout = 400;

// Largest response of an endpoint to a control call, such as a copy or a
// report.
constexpr std::size_t kMaxControlBytes = 256U << 10U;

// Returns where a peer opens tunnels.
HttpTarget tunnel_target(const PeerRecord& peer) {
  const Result<HttpTarget> callers = parse_host_port(peer.caller_address);
  if (!ok(callers)) return {};
  return {value(callers).address, peer.tunnel_port};
}

}  // namespace

TunnelHandlers RouterNode::tunnel_handlers() {
  return {[this](const TunnelRequest& request) {
            return answer_tunnel_request(
                state_, request, tunnels_.open_tunnels(),
                max_tunnels(settings_.memory_limit, settings_.socket_limit));
          },
          [this](const std::string& id) -> std::optional<HttpTarget> {
            const auto found = state_.endpoints.find(id);
            if (found == state_.endpoints.end()) return std::nullopt;
            const EndpointEntry& entry = found->second.entry;
            return HttpTarget{entry.address, entry.port};
          },
          [this](const std::string& id) { post(EndpointUnreachable{id}); },
          [this](const TunneledResponse& response) {
            const auto notice = endpoint_notice(
                wire_format_.decode_response_head(response.headers),
                response.status);
            if (!notice) return;
            post(EndpointAnswered{response.endpoint, *notice,
                                  response.connected_at});
          }};
}

std::string RouterNode::endpoint_at(const HttpTarget& target) const {
  const auto found = std::find_if(
      state_.endpoints.begin(), state_.endpoints.end(), [&](const auto& entry) {
        const EndpointEntry& known = entry.second.entry;
        return entry.second.listed && known.address == target.address &&
               known.port == target.port;
      });
  return found == state_.endpoints.end() ? "" : found->first;
}

awaitable<bool> RouterNode::connect_for_call(HttpConnection& connection,
                                             HttpTarget target,
                                             std::string endpoint,
                                             Millis timeout) {
  const auto peer = sends_through_peers(state_) && !endpoint.empty()
                        ? choose_tunnel_peer()
                        : std::optional<PeerRecord>();
  if (!peer) co_return co_await connection.connect(target, timeout);
  // Control calls concern what an endpoint runs or holds already.
  const TunnelRequest tunnel{std::move(endpoint), true};
  const HttpTarget tunnel_peer = tunnel_target(*peer);
  const TunnelResult result =
      co_await open_tunnel(connection, tunnel_peer, tunnel);
  co_return result.is_open;
}

awaitable<ClientResponse> RouterNode::call_endpoint(HttpTarget target,
                                                    ClientRequest request,
                                                    Millis timeout) {
  const std::string endpoint = endpoint_at(target);
  HttpConnection connection(io_);
  if (!co_await connect_for_call(connection, target, endpoint, timeout))
    co_return ClientResponse();
  request.host = format_host_port(target);
  ClientResponse response = co_await fetch_on(connection, std::move(request),
                                              timeout, kMaxControlBytes);
  if (!response.complete) co_return response;
  const std::vector<HttpHeader> headers = connection.headers();
  if (wire_format_.decode_response_head(headers).notice.is_leaving)
    on_endpoint_leaving(endpoint);
  co_return response;
}

void RouterNode::on_endpoint_leaving(const std::string& endpoint) {
  const auto found = state_.endpoints.find(endpoint);
  const bool is_news =
      found != state_.endpoints.end() && !found->second.announced_leaving;
  if (!is_news) return;
  peers_.announce_endpoint_leaving(endpoint, monotonic_now());
  post(EndpointLeaving{endpoint});
}

void RouterNode::choose_tunnel_peer(EndpointAttempt& attempt) {
  const auto peer = choose_tunnel_peer();
  if (!peer) return;
  attempt.tunnel_peer = tunnel_target(*peer);
  attempt.on_no_tunnel = [this, vm = peer->vm] {
    mark_unavailable(unavailable_tunnel_peers_, vm, monotonic_now());
  };
}

std::optional<PeerRecord> RouterNode::choose_tunnel_peer() const {
  return peridotreach::choose_tunnel_peer(peers_.view(), peers_.self(),
                                          unavailable_tunnel_peers_,
                                          monotonic_now(), random_number());
}

void RouterNode::perform(const ProbeEndpointPath& effect) {
  const HttpTarget target{effect.address, effect.port};
  co_spawn(io_, probe_endpoint_path(target), asio::detached);
}

awaitable<void> RouterNode::probe_endpoint_path(HttpTarget target) {
  HttpConnection connection(io_);
  if (co_await connection.connect(target, kProbeTimeout))
    post(EndpointPathProbed{});
}

}  // namespace peridotreach
