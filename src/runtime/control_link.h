#pragma once

// Control messages between the system's processes over ZeroMQ, on the I/O
// thread. One ROUTER socket receives; one DEALER socket for each peer sends.
// ZeroMQ heartbeats detect unresponsive connections, which are then replaced.
//
// Each connection has a generated identity. With a fixed one, ZeroMQ would hand
// the identity over from a broken connection to its replacement, and libzmq
// 4.3.4 aborts the process if the broken connection then delivers a message, is
// reset and has its next heartbeat due.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <zmq.hpp>

#include "libperidotreach/error.h"
#include "libperidotreach/time.h"
#include "runtime/asio.h"

namespace peridotreach {

namespace proto {
class Envelope;
}

// Largest message part accepted, in bytes.
inline constexpr std::int64_t kMaxMessageBytes = 4 << 20;

// Version of the envelope. Messages of other versions are dropped.
inline constexpr std::uint32_t kEnvelopeVersion = 1;

// Traffic counters. Sent messages include those dropped because a queue was
// full; `dropped` also counts malformed messages received.
struct LinkCounts {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t dropped = 0;
};

// Key pair for CURVE encryption, Z85-encoded and shared by all processes. Empty
// keys disable encryption.
struct LinkKeys {
  std::string public_key;
  std::string secret_key;
};

// Sends and receives the control messages of a process.
class ControlLink {
 public:
  // Receives each valid envelope and the identity of its sender, for `reply`.
  using Handler = std::function<void(const std::string& peer,
                                     const proto::Envelope& message)>;

  ControlLink(asio::io_context& io, LinkKeys keys);
  ~ControlLink();
  ControlLink(const ControlLink&) = delete;
  ControlLink& operator=(const ControlLink&) = delete;

  // Binds the receiving socket and starts passing messages to `handler`. Port 0
  // picks a free one. Returns the port in use.
  Result<std::uint16_t> start(const std::string& address, std::uint16_t port,
                              Handler handler);

  // Sends to the process that listens on tcp://ADDRESS:PORT, connecting first
  // if needed. Never blocks; drops the message if the queue is full.
  void send(const std::string& address, std::uint16_t port,
            const proto::Envelope& message);

  // Sends to the peer that a message came from, over the same connection.
  void reply(const std::string& peer, const proto::Envelope& message);

  // Closes the connections of this process on which nothing has been sent since
  // `time`.
  void close_idle_connections(Millis time);

  // Returns the traffic counters since construction.
  const LinkCounts& counts() const { return counts_; }

 private:
  struct Socket;

  void configure_curve(zmq::socket_t& socket, bool as_server) const;
  void receive_pending(Socket& socket);
  void start_event_wait(const std::shared_ptr<Socket>& socket);
  void receive_one(Socket& socket);
  std::shared_ptr<Socket> find_or_connect_dealer(const std::string& endpoint);

  asio::io_context& io_;
  LinkKeys keys_;
  Handler handler_;
  zmq::context_t context_;
  std::shared_ptr<Socket> router_;
  std::map<std::string, std::shared_ptr<Socket>> dealers_;
  LinkCounts counts_;
};

}  // namespace peridotreach
