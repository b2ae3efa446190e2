// Tests of the HTTP client against a server on loopback.

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

awaitable<std::string> ask(HttpConnection& connection, std::string path) {
  ClientRequest request;
  request.target = std::move(path);
  if (!co_await connection.send(std::move(request), kSecond)) {
    co_return "not sent";
  }
  if (co_await connection.read_head(kSecond) == 0) co_return "no answer";
  std::string body;
  while (!connection.ended()) {
    const std::string part = co_await connection.read_some(kSecond);
    if (part.empty() && !connection.ended()) co_return "broken";
    body += part;
  }
  co_return body;
}

TEST_CASE("each answer on a kept connection is read whole", "[http]") {
  asio::io_context io;
  const auto port = start_http_server(io, "127.0.0.1", 0, {}, echo_path);
  REQUIRE(ok(port));
  std::vector<std::string> answers;
  co_spawn(
      io,
      [&]() -> awaitable<void> {
        HttpConnection connection(io);
        const HttpTarget target{"127.0.0.1", value(port)};
        if (co_await connection.connect(target, kSecond)) {
          for (const char* path : {"/first", "/second", "/third"}) {
            answers.push_back(co_await ask(connection, path));
          }
        }
        connection.close();
        io.stop();
      },
      asio::detached);
  io.run();
  CHECK(answers == std::vector<std::string>{"/first", "/second", "/third"});
}

}  // namespace
}  // namespace peridotreach
