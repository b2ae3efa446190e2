#include "peridot-router/peer_link.h"

#include <utility>

#include "fleet.pb.h"
#include "runtime/clock.h"

namespace peridotreach {
namespace {

// Age up to which the relays in use are not computed anew.
constexpr Millis kTopologyMaxAge = 200;

// Time after the last message on a connection that a peer opened for which it
// is taken to work.
constexpr Millis kInboundConnectionMaxAge = 2 * kSecond;

// A connection of this process that carried no message for this long is closed.
constexpr Millis kIdleConnectionTimeout = 10 * kSecond;
constexpr Millis kIdleConnectionCheckInterval = 2 * kSecond;

}  // namespace

PeerLink::PeerLink(asio::io_context& io, PeerRecord self) : link_(io, {}) {
  local_.record = std::move(self);
}

Result<std::uint16_t> PeerLink::start(const HttpTarget& listen,
                                      Handler handler) {
  return link_.start(
      listen.address, listen.port,
      [this, handler = std::move(handler)](const std::string& identity,
                                           const proto::Envelope& message) {
        if (!identity.empty())
          inbound_[message.vm()] = {identity, monotonic_now()};
        handler(message);
      });
}

proto::Envelope PeerLink::make_envelope() const {
  proto::Envelope message;
  message.set_version(kEnvelopeVersion);
  message.set_vm(local_.record.vm);
  message.set_incarnation(local_.record.incarnation);
  return message;
}

void PeerLink::send_to(const std::string& vm, const proto::Envelope& message,
                       Millis now) {
  const auto inbound = inbound_.find(vm);
  const bool reuses_inbound =
      topology_.uses_relays && inbound != inbound_.end() &&
      now - inbound->second.last_used_at <= kInboundConnectionMaxAge;
  if (reuses_inbound) {
    link_.reply(inbound->second.identity, message);
    return;
  }
  const auto peer = view_.peers.find(vm);
  if (peer != view_.peers.end())
    send_to_address(peer->second.record.link_address, message);
}

void PeerLink::send_to_address(const std::string& address,
                               const proto::Envelope& message) {
  const Result<HttpTarget> target = parse_host_port(address);
  if (!ok(target)) return;
  link_.send(value(target).address, value(target).port, message);
}

bool PeerLink::refresh_topology(Millis now, bool forced) {
  const bool is_due = topology_computed_at_ == 0 ||
                      now - topology_computed_at_ >= kTopologyMaxAge;
  if (!is_due && !forced) return false;
  const RelayTopology earlier =
      std::exchange(topology_, find_relays(view_, local_, now));
  topology_computed_at_ = now;
  return earlier.uses_relays != topology_.uses_relays ||
         earlier.is_relay != topology_.is_relay;
}

void PeerLink::close_idle_connections(Millis now) {
  if (now - connections_checked_at_ < kIdleConnectionCheckInterval) return;
  connections_checked_at_ = now;
  link_.close_idle_connections(now - kIdleConnectionTimeout);
  std::erase_if(inbound_, [&](const auto& entry) {
    return now - entry.second.last_used_at > kIdleConnectionTimeout;
  });
}

void PeerLink::set_status(bool ready, bool stopping) {
  local_.ready = ready;
  local_.stopping = stopping;
}

}  // namespace peridotreach
