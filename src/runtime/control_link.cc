#include "runtime/control_link.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <cerrno>
#include <string>
#include <utility>

#include "fleet.pb.h"
#include "runtime/clock.h"
#include "runtime/log.h"

namespace peridotreach {
namespace {

// ZeroMQ heartbeats: a connection is dropped if a heartbeat is not answered
// within the timeout.
constexpr int kHeartbeatIntervalMs = 1000;
constexpr int kHeartbeatTimeoutMs = 2500;

// Messages queued for a peer that does not read; further ones are dropped.
constexpr int kSendQueueMessages = 1000;

// The receive queue has no limit: libzmq 4.3.4 stops reading at the limit and
// aborts the process if the connection is reset in that state.
constexpr int kUnlimitedMessages = 0;

// Delay before reconnecting, which grows from the first value to the second.
constexpr int kReconnectIntervalMs = 100;
constexpr int kMaxReconnectIntervalMs = 2000;

// Repeats a call that a signal interrupted, which ZeroMQ reports as an error.
template <class Call>
auto retry_if_interrupted(Call call) {
  while (true) {
    try {
      return call();
    } catch (const zmq::error_t& failed) {
      if (failed.num() != EINTR) throw;
    }
  }
}

bool receive(zmq::socket_t& socket, zmq::message_t& part) {
  const auto received = retry_if_interrupted(
      [&] { return socket.recv(part, zmq::recv_flags::dontwait); });
  return received.has_value();
}

bool send_part(zmq::socket_t& socket, const std::string& bytes,
               zmq::send_flags flags) {
  const auto sent = retry_if_interrupted(
      [&] { return socket.send(zmq::buffer(bytes), flags); });
  return sent.has_value();
}

bool has_message(const zmq::socket_t& socket) {
  const int events =
      retry_if_interrupted([&] { return socket.get(zmq::sockopt::events); });
  return (events & ZMQ_POLLIN) != 0;
}

void configure(zmq::socket_t& socket) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatIntervalMs);
  socket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
  socket.set(zmq::sockopt::sndhwm, kSendQueueMessages);
  socket.set(zmq::sockopt::rcvhwm, kUnlimitedMessages);
  socket.set(zmq::sockopt::reconnect_ivl, kReconnectIntervalMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectIntervalMs);
}

}  // namespace

// A ZeroMQ socket and the file descriptor that signals its events.
struct ControlLink::Socket {
  Socket(asio::io_context& io, zmq::context_t& context, zmq::socket_type type)
      : socket(context, type),
        descriptor(io),
        is_router(type == zmq::socket_type::router) {}

  // ZeroMQ's descriptor belongs to ZeroMQ, so Asio must not close it.
  void close() {
    if (descriptor.is_open()) descriptor.release();
    socket.close();
    is_closed = true;
  }

  zmq::socket_t socket;
  asio::posix::stream_descriptor descriptor;
  bool is_router;
  bool is_closed = false;
  Millis last_sent_at = 0;
};

ControlLink::ControlLink(asio::io_context& io, LinkKeys keys)
    : io_(io), keys_(std::move(keys)), context_(1) {}

ControlLink::~ControlLink() {
  // Handlers still pending in the I/O context keep the Socket objects alive, so
  // the sockets are closed here; otherwise destroying the ZeroMQ context would
  // wait for them.
  if (router_) router_->close();
  for (auto& [endpoint, dealer] : dealers_) dealer->close();
}

void ControlLink::configure_curve(zmq::socket_t& socket, bool as_server) const {
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
  configure_curve(router_->socket, true);
  const std::string endpoint =
      "tcp://" + address + ":" + (port == 0 ? "*" : std::to_string(port));
  try {
    retry_if_interrupted([&] { router_->socket.bind(endpoint); });
  } catch (const zmq::error_t& e) {
    return Error{ErrorKind::kUnavailable,
                 "cannot listen on " + endpoint + ": " + e.what(),
                 "choose a free control port or stop the process that uses it"};
  }
  const std::string bound = router_->socket.get(zmq::sockopt::last_endpoint);
  start_event_wait(router_);
  const std::string port_text = bound.substr(bound.rfind(':') + 1);
  return static_cast<std::uint16_t>(std::stoi(port_text));
}

// Receives pending messages now and whenever the descriptor signals.
// ZeroMQ's descriptor is edge-triggered, so pending messages are received after
// every wait and after every send.
void ControlLink::start_event_wait(const std::shared_ptr<Socket>& socket) {
  if (!socket->descriptor.is_open()) {
    socket->descriptor.assign(socket->socket.get(zmq::sockopt::fd));
  }
  socket->descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                                [this, socket](error_code ec) {
                                  if (ec || socket->is_closed) return;
                                  receive_pending(*socket);
                                  start_event_wait(socket);
                                });
  receive_pending(*socket);
}

void ControlLink::receive_pending(Socket& socket) {
  // A handler may close the socket.
  while (!socket.is_closed && has_message(socket.socket)) receive_one(socket);
}

void ControlLink::receive_one(Socket& socket) {
  std::string peer;
  zmq::message_t part;
  if (socket.is_router) {
    if (!receive(socket.socket, part)) return;
    peer = part.to_string();
  }
  if (!receive(socket.socket, part)) return;
  proto::Envelope envelope;
  const bool parsed =
      envelope.ParseFromArray(part.data(), static_cast<int>(part.size()));
  const bool more = part.more();
  while (part.more()) {
    if (!receive(socket.socket, part)) break;
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

std::shared_ptr<ControlLink::Socket> ControlLink::find_or_connect_dealer(
    const std::string& endpoint) {
  const auto found = dealers_.find(endpoint);
  if (found != dealers_.end()) return found->second;
  auto dealer =
      std::make_shared<Socket>(io_, context_, zmq::socket_type::dealer);
  configure(dealer->socket);
  configure_curve(dealer->socket, false);
  retry_if_interrupted([&] { dealer->socket.connect(endpoint); });
  dealers_[endpoint] = dealer;
  start_event_wait(dealer);
  return dealer;
}

void ControlLink::send(const std::string& address, std::uint16_t port,
                       const proto::Envelope& message) {
  const std::string endpoint = "tcp://" + address + ":" + std::to_string(port);
  const auto dealer = find_or_connect_dealer(endpoint);
  const std::string bytes = message.SerializeAsString();
  if (!send_part(dealer->socket, bytes, zmq::send_flags::dontwait))
    counts_.dropped += 1;
  counts_.messages_sent += 1;
  counts_.bytes_sent += bytes.size();
  dealer->last_sent_at = monotonic_now();
  asio::post(io_, [this, dealer] { receive_pending(*dealer); });
}

void ControlLink::close_idle_connections(Millis time) {
  std::erase_if(dealers_, [&](const auto& entry) {
    if (entry.second->last_sent_at >= time) return false;
    entry.second->close();
    return true;
  });
}

void ControlLink::reply(const std::string& peer,
                        const proto::Envelope& message) {
  const std::string bytes = message.SerializeAsString();
  const auto flags = zmq::send_flags::dontwait;
  const bool is_sent =
      send_part(router_->socket, peer, flags | zmq::send_flags::sndmore) &&
      send_part(router_->socket, bytes, flags);
  if (!is_sent) counts_.dropped += 1;
  counts_.messages_sent += 1;
  counts_.bytes_sent += bytes.size();
  asio::post(io_, [this] { receive_pending(*router_); });
}

}  // namespace peridotreach
