// Tests of the buffer between an endpoint's stream and a slow caller.

#include "peridot-router/request_exchange.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

namespace peridotreach {
namespace {

// Runs `io` until the exchange has drained or its caller's patience has passed.
// Calls `take` first. Returns whether it drained.
template <class Take>
bool drains(asio::io_context& io, RequestExchange& exchange, Take take) {
  std::optional<bool> drained;
  co_spawn(
      io,
      [&]() -> awaitable<void> {
        drained = co_await exchange.wait_for_drain(10);
      },
      asio::detached);
  asio::post(io, take);
  io.restart();
  io.run();
  return drained.value();
}

TEST_CASE("an endpoint waits for a slow caller only if the buffer is full",
          "[memory]") {
  asio::io_context io;
  RequestExchange exchange(io, 1, 1, RawRequest());
  const auto nothing = [] {};
  exchange.append_stream(std::string(kMaxBufferedBytes, 'x'));
  CHECK(drains(io, exchange, nothing));
  exchange.append_stream("y");
  CHECK_FALSE(drains(io, exchange, nothing));
  CHECK(drains(io, exchange, [&] {
    CHECK(exchange.take_bytes().size() == kMaxWrittenBytes);
  }));
  CHECK(exchange.buffered_bytes() > kMaxBufferedBytes - kMaxWrittenBytes);
}

TEST_CASE("an abort for memory frees what the caller has not been sent",
          "[memory]") {
  asio::io_context io;
  for (const bool is_for_memory : {false, true}) {
    RequestExchange exchange(io, 1, 1, RawRequest());
    exchange.append_stream(std::string(kMaxWrittenBytes, 'x'));
    if (is_for_memory) exchange.drop_bytes_on_abort();
    exchange.abort();
    CHECK(exchange.has_more_bytes() != is_for_memory);
  }
}

TEST_CASE("a body is freed once it is neither needed nor being sent",
          "[memory]") {
  asio::io_context io;
  RawRequest raw;
  raw.body = std::string(1000, 'x');
  RequestExchange exchange(io, 1, 1, std::move(raw));
  int released = 0;
  exchange.set_on_body_released([&] { ++released; });
  exchange.begin_sending();
  exchange.release_body();
  CHECK(exchange.request().body.size() == 1000);
  exchange.end_sending();
  CHECK(exchange.request().body.empty());
  exchange.release_body();
  CHECK(released == 1);
}

}  // namespace
}  // namespace peridotreach
