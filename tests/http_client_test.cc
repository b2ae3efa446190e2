// Tests the HTTP client against a server on the loopback interface.

#include "runtime/http_client.h"

#include <catch2/catch.hpp>

#include "runtime/clock.h"
#include "runtime/http_server.h"

namespace peridotreach {
namespace {

awaitable<void> echo_path(HttpExchange& exchange) {
  HttpResponse response = text_response(200, exchange.request().path);
  co_await exchange.respond(std::move(response));
}

awaitable<std::string> fetch(HttpConnection& connection, std::string path) {
  ClientRequest request;
  request.target = std::move(path);
  if (!co_await connection.send(std::move(request), kSecond)) {
    co_return "request not sent";
  }
  if (co_await connection.read_head(kSecond) == 0) co_return "no response";
  std::string body;
  while (!connection.response_complete()) {
    const std::string chunk = co_await connection.read_some(kSecond);
    if (chunk.empty() && !connection.response_complete())
      co_return "response truncated";
    body += chunk;
  }
  co_return body;
}

TEST_CASE("each response on a persistent connection is read completely",
          "[http]") {
  asio::io_context io;
  const auto port = start_http_server(io, "127.0.0.1", 0, {}, echo_path);
  REQUIRE(ok(port));
  std::vector<std::string> bodies;
  co_spawn(
      io,
      [&]() -> awaitable<void> {
        HttpConnection connection(io);
        const HttpTarget target{"127.0.0.1", value(port)};
        if (co_await connection.connect(target, kSecond)) {
          for (const char* path : {"/first", "/second", "/third"}) {
            bodies.push_back(co_await fetch(connection, path));
          }
        }
        connection.close();
        io.stop();
      },
      asio::detached);
  io.run();
  CHECK(bodies == std::vector<std::string>{"/first", "/second", "/third"});
}

}  // namespace
}  // namespace peridotreach
