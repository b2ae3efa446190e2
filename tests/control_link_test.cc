// Tests the control link over connections that break. libzmq 4.3.4 aborts the
// process if a connection that was already replaced delivers a message, is
// reset and has its next heartbeat due, provided that the peers use fixed
// identities.

#include "runtime/control_link.h"

#include <pthread.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet.pb.h"
#include "runtime/clock.h"

namespace peridotreach {
namespace {

// Forwards connections to a local port and injects faults into the first one.
class FaultInjectingProxy {
 public:
  FaultInjectingProxy(asio::io_context& io, std::uint16_t target)
      : io_(io),
        target_(asio::ip::make_address("127.0.0.1"), target),
        acceptor_(io, tcp::endpoint(target_.address(), 0)) {
    co_spawn(io_, accept(), asio::detached);
  }

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  std::size_t connections() const { return pairs_.size(); }

  // Holds back what the client of the first connection sends from now on.
  void hold_first_connection() { holding_ = true; }

  // Closes the client side of the first connection; its server side stays open.
  void close_client_side() { pairs_.front()->client.close(); }

  // Forwards the bytes that were held back.
  void forward_held_bytes() {
    error_code ignored;
    asio::write(pairs_.front()->server, asio::buffer(held_bytes_), ignored);
  }

  // Resets the server side of the first connection.
  void reset_server_side() {
    tcp::socket& socket = pairs_.front()->server;
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
  }

 private:
  struct Pair {
    tcp::socket client;
    tcp::socket server;
  };

  awaitable<void> accept() {
    while (true) {
      tcp::socket client = co_await acceptor_.async_accept(asio::use_awaitable);
      tcp::socket server(io_);
      co_await server.async_connect(target_, asio::use_awaitable);
      auto pair =
          std::make_shared<Pair>(Pair{std::move(client), std::move(server)});
      const bool is_first = pairs_.empty();
      pairs_.push_back(pair);
      co_spawn(io_, relay(pair, &Pair::client, &Pair::server, is_first),
               asio::detached);
      co_spawn(io_, relay(pair, &Pair::server, &Pair::client, false),
               asio::detached);
    }
  }

  using Side = tcp::socket Pair::*;

  awaitable<void> relay(std::shared_ptr<Pair> pair, Side from, Side to,
                        bool may_hold) {
    std::vector<char> bytes(4096);
    error_code ec;
    auto result = asio::redirect_error(asio::use_awaitable, ec);
    while (true) {
      const std::size_t count =
          co_await (*pair.*from).async_read_some(asio::buffer(bytes), result);
      if (ec) co_return;
      if (may_hold && holding_) {
        held_bytes_.append(bytes.data(), count);
        continue;
      }
      co_await asio::async_write(*pair.*to, asio::buffer(bytes, count), result);
      if (ec) co_return;
    }
  }

  asio::io_context& io_;
  tcp::endpoint target_;
  tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<Pair>> pairs_;
  bool holding_ = false;
  std::string held_bytes_;
};

// Signals this thread without pause, with a handler that does nothing, until it
// is destroyed.
class SignalStorm {
 public:
  SignalStorm() {
    struct sigaction action = {};
    action.sa_handler = [](int) {};
    sigaction(SIGUSR1, &action, &previous_);
    sender_ = std::thread([this, target = pthread_self()] {
      while (!ends_) pthread_kill(target, SIGUSR1);
    });
  }
  ~SignalStorm() {
    ends_ = true;
    sender_.join();
    sigaction(SIGUSR1, &previous_, nullptr);
  }
  SignalStorm(const SignalStorm&) = delete;
  SignalStorm& operator=(const SignalStorm&) = delete;

 private:
  struct sigaction previous_ = {};
  std::atomic<bool> ends_ = false;
  std::thread sender_;
};

// ZeroMQ reports a call that a signal interrupts as an error, which ended the
// process.
TEST_CASE("messages arrive while signals interrupt the process", "[link]") {
  constexpr std::size_t kMessages = 100;
  asio::io_context io(1);
  ControlLink receiver(io, {});
  std::size_t received = 0;
  std::size_t answered = 0;
  const auto port = receiver.start(
      "127.0.0.1", 0, [&](const std::string& peer, const proto::Envelope& to) {
        received += 1;
        receiver.reply(peer, to);
      });
  REQUIRE(ok(port));
  ControlLink sender(io, {});
  REQUIRE(ok(sender.start(
      "127.0.0.1", 0,
      [&](const std::string&, const proto::Envelope&) { answered += 1; })));
  proto::Envelope message;
  message.set_version(kEnvelopeVersion);
  const SignalStorm storm;
  for (std::size_t sent = 0; sent < kMessages; ++sent) {
    sender.send("127.0.0.1", value(port), message);
    const Millis deadline = monotonic_now() + 20 * kSecond;
    while (answered <= sent && monotonic_now() < deadline)
      io.run_for(std::chrono::milliseconds(1));
    REQUIRE(answered == sent + 1);
  }
  CHECK(received == kMessages);
}

TEST_CASE("messages arrive after a replaced connection is reset", "[link]") {
  asio::io_context io(1);
  ControlLink receiver(io, {});
  std::vector<std::string> received;
  const auto port = receiver.start(
      "127.0.0.1", 0, [&](const std::string&, const proto::Envelope& message) {
        received.push_back(message.vm());
      });
  REQUIRE(ok(port));
  FaultInjectingProxy proxy(io, value(port));
  ControlLink sender(io, {});
  const auto send = [&](const char* name) {
    proto::Envelope message;
    message.set_version(kEnvelopeVersion);
    message.set_vm(name);
    sender.send("127.0.0.1", proxy.port(), message);
  };
  const auto run_until = [&](const auto& condition) {
    const Millis deadline = monotonic_now() + 20 * kSecond;
    while (!condition() && monotonic_now() < deadline) {
      io.run_for(std::chrono::milliseconds(10));
    }
    return condition();
  };
  const auto receives = [&](const char* name) {
    return run_until([&] {
      return std::find(received.begin(), received.end(), name) !=
             received.end();
    });
  };
  send("first");
  REQUIRE(receives("first"));
  proxy.hold_first_connection();
  send("held");
  io.run_for(std::chrono::milliseconds(50));
  proxy.close_client_side();
  REQUIRE(run_until([&] { return proxy.connections() == 2; }));
  send("second");
  REQUIRE(receives("second"));
  proxy.forward_held_bytes();
  io.run_for(std::chrono::milliseconds(50));
  proxy.reset_server_side();
  // Waits until the next heartbeat is due on the connection that was reset.
  io.run_for(std::chrono::milliseconds(1300));
  send("third");
  CHECK(receives("third"));
}

}  // namespace
}  // namespace peridotreach
