// Tests tunnels to endpoints through a peer on the loopback interface.

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "peridot-router/endpoint_tunnel.h"
#include "peridot-router/tunnel_server.h"
#include "runtime/clock.h"

namespace peridotreach {
namespace {

constexpr char kWholeResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Notice: 1\r\n\r\nok";
constexpr char kUnframedResponse[] = "HTTP/1.1 200 OK\r\n\r\nok";

// How an endpoint ends the connection after its response.
enum class EndpointEnd { kWaitsForClient, kCloses, kResets };

// What the endpoint and the process that opens tunnels do in a test.
struct Fakes {
  std::string response = kWholeResponse;
  EndpointEnd end = EndpointEnd::kWaitsForClient;
  TunnelAnswer answer{TunnelVerdict::kOpen};
  bool has_endpoint = true;
};

// What happened.
struct Observed {
  TunnelResult tunnel;
  std::string body;
  // The response was complete, or ended with a connection that did not fail.
  bool is_complete = false;
  std::vector<TunneledResponse> responses;
  std::vector<std::string> unreachable;
  std::string request_at_endpoint;
  bool endpoint_saw_end = false;
  std::size_t open_after = 0;
};

awaitable<void> serve_endpoint(tcp::acceptor& acceptor, const Fakes& fakes,
                               Observed& observed) {
  tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
  error_code failed;
  co_await asio::async_read_until(
      socket, asio::dynamic_buffer(observed.request_at_endpoint), "\r\n\r\n",
      asio::redirect_error(asio::use_awaitable, failed));
  co_await asio::async_write(socket, asio::buffer(fakes.response),
                             asio::redirect_error(asio::use_awaitable, failed));
  if (fakes.end == EndpointEnd::kWaitsForClient) {
    char byte = 0;
    co_await socket.async_read_some(
        asio::buffer(&byte, 1),
        asio::redirect_error(asio::use_awaitable, failed));
    observed.endpoint_saw_end = failed == asio::error::eof;
    co_return;
  }
  // Lets the response arrive: a reset discards what was not read.
  co_await sleep_for(50);
  if (fakes.end == EndpointEnd::kResets)
    socket.set_option(asio::socket_base::linger(true, 0), failed);
  socket.close(failed);
}

awaitable<void> send_request(asio::io_context& io, std::uint16_t port,
                             Observed& observed) {
  HttpConnection connection(io);
  const HttpTarget peer{"127.0.0.1", port};
  const TunnelRequest tunnel{"p1", false};
  observed.tunnel = co_await open_tunnel(connection, peer, tunnel);
  if (!observed.tunnel.is_open) co_return;
  ClientRequest request;
  request.target = "/path";
  request.headers.push_back({"X-Kept", "as it is"});
  co_await connection.send(std::move(request), kSecond);
  if (co_await connection.read_head(kSecond) != 0) {
    while (true) {
      const std::string bytes = co_await connection.read_some(kSecond);
      if (bytes.empty()) break;
      observed.body += bytes;
    }
  }
  observed.is_complete = connection.response_complete();
  connection.close();
}

Observed run(const Fakes& fakes) {
  Observed observed;
  asio::io_context io;
  tcp::acceptor endpoint(io,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const HttpTarget target{"127.0.0.1", endpoint.local_endpoint().port()};
  if (!fakes.has_endpoint) endpoint.close();
  TunnelServer server(
      io, {[&](const TunnelRequest& request) {
             CHECK(request.endpoint == "p1");
             return fakes.answer;
           },
           [&](const std::string&) { return std::optional(target); },
           [&](const std::string& id) { observed.unreachable.push_back(id); },
           [&](const TunneledResponse& response) {
             observed.responses.push_back(response);
           }});
  const auto port = server.start({"127.0.0.1", 0});
  REQUIRE(ok(port));
  if (fakes.has_endpoint) {
    co_spawn(io, serve_endpoint(endpoint, fakes, observed), asio::detached);
  }
  const auto client = [&]() -> awaitable<void> {
    co_await send_request(io, value(port), observed);
    co_await sleep_for(50);
    observed.open_after = server.open_tunnels();
    io.stop();
  };
  co_spawn(io, client, asio::detached);
  io.run_for(std::chrono::seconds(10));
  return observed;
}

TEST_CASE("a tunnel passes the request and the response on unchanged",
          "[tunnel]") {
  const Observed observed = run({});
  CHECK(observed.tunnel.is_open);
  CHECK(observed.request_at_endpoint.starts_with("GET /path HTTP/1.1\r\n"));
  CHECK(observed.request_at_endpoint.find("X-Kept: as it is\r\n") !=
        std::string::npos);
  CHECK(observed.request_at_endpoint.find("Peridot-") == std::string::npos);
  CHECK(observed.body == "ok");
  CHECK(observed.is_complete);
  // The endpoint learns that the client has left.
  CHECK(observed.endpoint_saw_end);
  CHECK(observed.open_after == 0);
}

TEST_CASE("the process in between learns what endpoints say of themselves",
          "[tunnel]") {
  const Observed observed = run({});
  REQUIRE(observed.responses.size() == 1);
  CHECK(observed.responses[0].endpoint == "p1");
  CHECK(observed.responses[0].status == 200);
  CHECK(observed.responses[0].connected_at > 0);
  REQUIRE(observed.responses[0].headers.size() == 2);
  CHECK(observed.responses[0].headers[1].name == "X-Notice");
}

TEST_CASE("a response that a reset cuts off in a tunnel is not complete",
          "[tunnel]") {
  Fakes fakes;
  fakes.response = kUnframedResponse;
  fakes.end = GENERATE(EndpointEnd::kCloses, EndpointEnd::kResets);
  const Observed observed = run(fakes);
  CHECK(observed.body == "ok");
  CHECK(observed.is_complete == (fakes.end == EndpointEnd::kCloses));
  CHECK(observed.open_after == 0);
}

TEST_CASE("a tunnel that is not opened names the cause", "[tunnel]") {
  Fakes fakes;
  SECTION("the peer sends nothing to the endpoint") {
    fakes.answer = {TunnelVerdict::kDeclined, 700};
    const Observed observed = run(fakes);
    CHECK(observed.tunnel ==
          TunnelResult{false, ConnectFailure::kDeclinedByPeer, 700});
  }
  SECTION("the peer cannot open tunnels now") {
    fakes.answer = {TunnelVerdict::kUnavailable};
    CHECK(run(fakes).tunnel == TunnelResult());
  }
  SECTION("the peer does not reach the endpoint either") {
    fakes.has_endpoint = false;
    const Observed observed = run(fakes);
    CHECK(observed.tunnel.failure == ConnectFailure::kEndpointUnreachable);
    CHECK(observed.unreachable == std::vector<std::string>{"p1"});
    CHECK(observed.open_after == 0);
  }
}

}  // namespace
}  // namespace peridotreach
