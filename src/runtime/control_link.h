#pragma once

// Messages between the system's processes: ZeroMQ sockets on the I/O thread.
// One ROUTER receives; a DEALER to each peer in use sends. Silent connections
// are replaced by ZeroMQ's own heartbeats. Each connection has an identity of
// its own: a fixed one has to be handed over to the connection that replaces a
// broken one, and libzmq 4.3.4 aborts the process if the broken one still
// brings a message, is reset and has its next heartbeat due.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <zmq.hpp>

#include "libperidotreach/error.h"
#include "runtime/asio.h"

namespace peridotreach {

namespace proto {
class Envelope;
}

// The largest message accepted, in bytes.
inline constexpr std::int64_t kMostMessageBytes = 4 << 20;

// Version of the envelope; a message of another one is dropped.
inline constexpr std::uint32_t kEnvelopeVersion = 1;

// Counts of what went over the link.
struct LinkCounts {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t dropped = 0;
};

// Z85 keys for CURVE; both empty for none.
struct LinkKeys {
  std::string public_key;
  std::string secret_key;
};

// The control link of one process. `on_message` receives each valid envelope
// and the identity to reply to.
class ControlLink {
 public:
  using Handler = std::function<void(const std::string& peer,
                                     const proto::Envelope& message)>;

  ControlLink(asio::io_context& io, LinkKeys keys);
  ~ControlLink();
  ControlLink(const ControlLink&) = delete;
  ControlLink& operator=(const ControlLink&) = delete;

  // Binds the receiving socket and starts handling messages.
  Result<std::uint16_t> start(const std::string& address, std::uint16_t port,
                              Handler handler);

  // Sends to a process that listens at tcp://ADDRESS:PORT.
  void send(const std::string& address, std::uint16_t port,
            const proto::Envelope& message);

  // Replies over the connection that a message came from.
  void reply(const std::string& peer, const proto::Envelope& message);

  const LinkCounts& counts() const { return counts_; }

 private:
  struct Socket;

  void secure(zmq::socket_t& socket, bool as_server) const;
  void drain(Socket& socket);
  void watch(const std::shared_ptr<Socket>& socket);
  void receive(Socket& socket);
  std::shared_ptr<Socket> dealer_to(const std::string& endpoint);

  asio::io_context& io_;
  LinkKeys keys_;
  Handler handler_;
  zmq::context_t context_;
  std::shared_ptr<Socket> router_;
  std::map<std::string, std::shared_ptr<Socket>> dealers_;
  LinkCounts counts_;
};

}  // namespace peridotreach
