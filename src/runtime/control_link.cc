#include "runtime/control_link.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <utility>

#include "fleet.pb.h"
#include "runtime/log.h"

namespace peridotreach {
namespace {

// ZeroMQ heartbeats: interval, time to answer, both in milliseconds.
constexpr int kHeartbeatIntervalMs = 1000;
constexpr int kHeartbeatTimeoutMs = 2500;

// Messages queued to a peer that does not answer.
constexpr int kSendQueue = 1000;

// No bound on messages that wait to be read: libzmq 4.3.4 stops reading at the
// bound, and aborts the process if the connection is reset then.
constexpr int kUnbounded = 0;

constexpr int kReconnectMs = 100;
constexpr int kReconnectMostMs = 2000;

void configure(zmq::socket_t& socket) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::maxmsgsize, kMostMessageBytes);
  socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatIntervalMs);
  socket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
  socket.set(zmq::sockopt::sndhwm, kSendQueue);
  socket.set(zmq::sockopt::rcvhwm, kUnbounded);
  socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMostMs);
}

}  // namespace

// A ZeroMQ socket and the descriptor that signals its events.
struct ControlLink::Socket {
  Socket(asio::io_context& io, zmq::context_t& context, zmq::socket_type type)
      : socket(context, type),
        descriptor(io),
        is_router(type == zmq::socket_type::router) {}

  zmq::socket_t socket;
  asio::posix::stream_descriptor descriptor;
  bool is_router;
};

ControlLink::ControlLink(asio::io_context& io, LinkKeys keys)
    : io_(io), keys_(std::move(keys)), context_(1) {}

ControlLink::~ControlLink() {
  // The descriptors belong to ZeroMQ, so Asio must not close them. Handlers
  // that still wait in the I/O context keep the sockets' objects alive, so
  // they are closed here; else the ZeroMQ context would wait for them.
  const auto close = [](Socket& socket) {
    if (socket.descriptor.is_open()) socket.descriptor.release();
    socket.socket.close();
  };
  if (router_) close(*router_);
  for (auto& [endpoint, dealer] : dealers_) close(*dealer);
}

void ControlLink::secure(zmq::socket_t& socket, bool as_server) const {
  if (keys_.secret_key.empty()) return;
  if (as_server) {
    socket.set(zmq::sockopt::curve_server, 1);
    socket.set(zmq::sockopt::curve_secretkey, keys_.secret_key);
    return;
  }
  socket.set(zmq::sockopt::curve_serverkey, keys_.public_key);
  socket.set(zmq::sockopt::curve_publickey, keys_.public_key);
  socket.set(zmq::sockopt::curve_secretkey, keys_.secret_key);
}

Result<std::uint16_t> ControlLink::start(const std::string& address,
                                         std::uint16_t port, Handler handler) {
  handler_ = std::move(handler);
  router_ = std::make_shared<Socket>(io_, context_, zmq::socket_type::router);
  configure(router_->socket);
  secure(router_->socket, true);
  const std::string place =
      "tcp://" + address + ":" + (port == 0 ? "*" : std::to_string(port));
  try {
    router_->socket.bind(place);
  } catch (const zmq::error_t& e) {
    return Error{ErrorKind::kUnavailable,
                 "cannot listen on " + place + ": " + e.what(),
                 "choose a free control port"};
  }
  const std::string bound = router_->socket.get(zmq::sockopt::last_endpoint);
  watch(router_);
  const std::string number = bound.substr(bound.rfind(':') + 1);
  return static_cast<std::uint16_t>(std::stoi(number));
}

// ZeroMQ's descriptor signals edges only, so events are drained after every
// wait and after every send.
void ControlLink::watch(const std::shared_ptr<Socket>& socket) {
  if (!socket->descriptor.is_open()) {
    socket->descriptor.assign(socket->socket.get(zmq::sockopt::fd));
  }
  socket->descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                                [this, socket](error_code failed) {
                                  if (failed) return;
                                  drain(*socket);
                                  watch(socket);
                                });
  drain(*socket);
}

void ControlLink::drain(Socket& socket) {
  while ((socket.socket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
    receive(socket);
  }
}

void ControlLink::receive(Socket& socket) {
  std::string peer;
  zmq::message_t part;
  if (socket.is_router) {
    if (!socket.socket.recv(part, zmq::recv_flags::dontwait)) return;
    peer = part.to_string();
  }
  if (!socket.socket.recv(part, zmq::recv_flags::dontwait)) return;
  proto::Envelope envelope;
  const bool parsed =
      envelope.ParseFromArray(part.data(), static_cast<int>(part.size()));
  const bool more = part.more();
  while (part.more()) {
    if (!socket.socket.recv(part, zmq::recv_flags::dontwait)) break;
  }
  counts_.messages_received += 1;
  counts_.bytes_received += part.size();
  if (!parsed || more || envelope.version() != kEnvelopeVersion) {
    counts_.dropped += 1;
    log(LogLevel::kWarning, "dropped a malformed control message");
    return;
  }
  handler_(peer, envelope);
}

std::shared_ptr<ControlLink::Socket> ControlLink::dealer_to(
    const std::string& endpoint) {
  const auto found = dealers_.find(endpoint);
  if (found != dealers_.end()) return found->second;
  auto dealer =
      std::make_shared<Socket>(io_, context_, zmq::socket_type::dealer);
  configure(dealer->socket);
  secure(dealer->socket, false);
  dealer->socket.connect(endpoint);
  dealers_[endpoint] = dealer;
  watch(dealer);
  return dealer;
}

void ControlLink::send(const std::string& address, std::uint16_t port,
                       const proto::Envelope& message) {
  const std::string endpoint = "tcp://" + address + ":" + std::to_string(port);
  const auto dealer = dealer_to(endpoint);
  const std::string bytes = message.SerializeAsString();
  const auto sent =
      dealer->socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
  if (!sent) counts_.dropped += 1;
  counts_.messages_sent += 1;
  counts_.bytes_sent += bytes.size();
  asio::post(io_, [this, dealer] { drain(*dealer); });
}

void ControlLink::reply(const std::string& peer,
                        const proto::Envelope& message) {
  const std::string bytes = message.SerializeAsString();
  const auto flags = zmq::send_flags::dontwait;
  const auto sent =
      router_->socket.send(zmq::buffer(peer), flags | zmq::send_flags::sndmore);
  if (!sent || !router_->socket.send(zmq::buffer(bytes), flags)) {
    counts_.dropped += 1;
  }
  counts_.messages_sent += 1;
  counts_.bytes_sent += bytes.size();
  asio::post(io_, [this] { drain(*router_); });
}

}  // namespace peridotreach
