// Tests of the messages between processes over connections that break.

#include "runtime/control_link.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "fleet.pb.h"
#include "runtime/clock.h"

namespace peridotreach {
namespace {

// Carries connections to a port and harms the first one.
class HarmingProxy {
 public:
  HarmingProxy(asio::io_context& io, std::uint16_t target)
      : io_(io),
        target_(asio::ip::make_address("127.0.0.1"), target),
        acceptor_(io, tcp::endpoint(target_.address(), 0)) {
    co_spawn(io_, accept(), asio::detached);
  }

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  std::size_t connections() const { return pairs_.size(); }

  // Keeps what the first connection's caller sends from now on.
  void hold_first() { holding_ = true; }

  // Closes the caller's side of the first connection alone.
  void close_callers_side() { pairs_.front()->caller.close(); }

  // Sends on what was kept.
  void release_held() {
    error_code ignored;
    asio::write(pairs_.front()->target, asio::buffer(held_), ignored);
  }

  // Resets the first connection's other side.
  void reset_targets_side() {
    tcp::socket& socket = pairs_.front()->target;
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
  }

 private:
  struct Pair {
    tcp::socket caller;
    tcp::socket target;
  };

  awaitable<void> accept() {
    while (true) {
      tcp::socket caller = co_await acceptor_.async_accept(asio::use_awaitable);
      tcp::socket target(io_);
      co_await target.async_connect(target_, asio::use_awaitable);
      auto pair =
          std::make_shared<Pair>(Pair{std::move(caller), std::move(target)});
      const bool is_first = pairs_.empty();
      pairs_.push_back(pair);
      co_spawn(io_, carry(pair, &Pair::caller, &Pair::target, is_first),
               asio::detached);
      co_spawn(io_, carry(pair, &Pair::target, &Pair::caller, false),
               asio::detached);
    }
  }

  using Side = tcp::socket Pair::*;

  awaitable<void> carry(std::shared_ptr<Pair> pair, Side from, Side to,
                        bool may_hold) {
    std::vector<char> bytes(4096);
    error_code failed;
    auto result = asio::redirect_error(asio::use_awaitable, failed);
    while (true) {
      const std::size_t count =
          co_await (*pair.*from).async_read_some(asio::buffer(bytes), result);
      if (failed) co_return;
      if (may_hold && holding_) {
        held_.append(bytes.data(), count);
        continue;
      }
      co_await asio::async_write(*pair.*to, asio::buffer(bytes, count), result);
      if (failed) co_return;
    }
  }

  asio::io_context& io_;
  tcp::endpoint target_;
  tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<Pair>> pairs_;
  bool holding_ = false;
  std::string held_;
};

TEST_CASE("a broken connection that is replaced does no harm", "[link]") {
  asio::io_context io(1);
  ControlLink receiver(io, {});
  std::vector<std::string> heard;
  const auto port = receiver.start(
      "127.0.0.1", 0, [&](const std::string&, const proto::Envelope& message) {
        heard.push_back(message.vm());
      });
  REQUIRE(ok(port));
  HarmingProxy proxy(io, value(port));
  ControlLink sender(io, {});
  const auto send = [&](const char* name) {
    proto::Envelope message;
    message.set_version(kEnvelopeVersion);
    message.set_vm(name);
    sender.send("127.0.0.1", proxy.port(), message);
  };
  const auto run_until = [&](const auto& reached) {
    const Millis until = monotonic_now() + 20 * kSecond;
    while (!reached() && monotonic_now() < until) {
      io.run_for(std::chrono::milliseconds(10));
    }
    return reached();
  };
  const auto hears = [&](const char* name) {
    return run_until([&] {
      return std::find(heard.begin(), heard.end(), name) != heard.end();
    });
  };
  send("first");
  REQUIRE(hears("first"));
  proxy.hold_first();
  send("held");
  io.run_for(std::chrono::milliseconds(50));
  proxy.close_callers_side();
  REQUIRE(run_until([&] { return proxy.connections() == 2; }));
  send("second");
  REQUIRE(hears("second"));
  proxy.release_held();
  io.run_for(std::chrono::milliseconds(50));
  proxy.reset_targets_side();
  // The next heartbeat is due on the connection that was reset.
  io.run_for(std::chrono::milliseconds(1300));
  send("third");
  CHECK(hears("third"));
}

}  // namespace
}  // namespace peridotreach
