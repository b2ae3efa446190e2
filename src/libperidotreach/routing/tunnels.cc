#include "libperidotreach/routing/tunnels.h"

#include <algorithm>
#include <vector>

#include "libperidotreach/routing/endpoint_choice.h"

namespace peridotreach {
namespace {

// How long a peer that has opened no tunnel is not asked again.
constexpr Millis kUnavailableFor = 2 * kSecond;

// Unavailable peers of a zone from which on other zones are asked too.
constexpr std::size_t kMaxUnavailableInZone = 2;

// Bounds of the time for which an endpoint is declined.
constexpr Millis kMinDeclined = 200;
constexpr Millis kMaxDeclined = 5 * kSecond;

constexpr std::size_t kMaxTunnels = 256;

// Memory of a tunnel with the kernel's buffers of its two connections, and the
// part of the process's memory and sockets that tunnels may take.
constexpr std::size_t kTunnelBytes = 192U << 10U;
constexpr std::size_t kMemoryDivisor = 6;
constexpr std::size_t kSocketDivisor = 16;
constexpr std::size_t kSocketsPerTunnel = 2;

bool is_unavailable(const UnavailableTunnelPeers& unavailable,
                    const std::string& vm, Millis now) {
  const auto found = unavailable.find(vm);
  return found != unavailable.end() && found->second > now;
}

}  // namespace

void mark_unavailable(UnavailableTunnelPeers& unavailable,
                      const std::string& vm, Millis now) {
  std::erase_if(unavailable,
                [&](const auto& entry) { return entry.second <= now; });
  unavailable[vm] = now + kUnavailableFor;
}

std::optional<PeerRecord> choose_tunnel_peer(
    const PeerView& view, const PeerRecord& self,
    const UnavailableTunnelPeers& unavailable, Millis now, std::uint64_t draw) {
  std::vector<const PeerRecord*> all;
  std::vector<const PeerRecord*> in_zone;
  std::size_t unavailable_in_zone = 0;
  for (const auto& [vm, peer] : view.peers) {
    if (!is_alive(peer, now) || !peer.ready || peer.stopping) continue;
    if (peer.record.tunnel_port == 0) continue;
    const bool is_in_zone = peer.record.zone == self.zone;
    if (is_unavailable(unavailable, vm, now)) {
      if (is_in_zone) unavailable_in_zone += 1;
      continue;
    }
    all.push_back(&peer.record);
    if (is_in_zone) in_zone.push_back(&peer.record);
  }
  const bool uses_zone =
      !in_zone.empty() && unavailable_in_zone < kMaxUnavailableInZone;
  const auto& candidates = uses_zone ? in_zone : all;
  if (candidates.empty()) return std::nullopt;
  std::uint64_t shares = 0;
  for (const PeerRecord* peer : candidates) shares += peer->processor_share + 1;
  std::uint64_t left = draw % shares;
  for (const PeerRecord* peer : candidates) {
    const std::uint64_t share = peer->processor_share + 1;
    if (left < share) return *peer;
    left -= share;
  }
  return *candidates.back();
}

TunnelAnswer answer_tunnel_request(const RoutingState& state,
                                   const TunnelRequest& request,
                                   std::size_t open_tunnels,
                                   std::size_t max_tunnels) {
  const bool is_available = !state.stop && state.endpoint_path.lost_since == 0;
  if (!is_available || open_tunnels >= max_tunnels)
    return {TunnelVerdict::kUnavailable};
  const auto found = state.endpoints.find(request.endpoint);
  if (found == state.endpoints.end())
    return {TunnelVerdict::kDeclined, kMinDeclined};
  const EndpointState& endpoint = found->second;
  const bool is_accepted = request.is_resumed
                               ? may_continue_generations(endpoint, state.now)
                               : accepts_new_requests(endpoint, state.now);
  if (is_accepted) return {TunnelVerdict::kOpen};
  const Millis declined_until =
      std::max(endpoint.declined_until, endpoint.ejected_until);
  return {TunnelVerdict::kDeclined,
          std::clamp(declined_until - state.now, kMinDeclined, kMaxDeclined)};
}

std::size_t max_tunnels(std::size_t memory_limit, std::size_t socket_limit) {
  std::size_t most = kMaxTunnels;
  if (memory_limit > 0)
    most = std::min(most, memory_limit / kMemoryDivisor / kTunnelBytes);
  if (socket_limit > 0)
    most = std::min(most, socket_limit / kSocketDivisor / kSocketsPerTunnel);
  return most;
}

}  // namespace peridotreach
