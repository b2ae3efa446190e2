#include "peridot-router/tunnel_server.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <utility>

#include "peridot-router/endpoint_tunnel.h"
#include "runtime/clock.h"
#include "runtime/dead_peer.h"
#include "runtime/http_framing.h"
#include "runtime/http_header.h"
#include "runtime/http_server.h"
#include "runtime/log.h"

namespace peridotreach {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// Time for a peer to send its request, and to take the answer.
constexpr auto kRequestTimeout = std::chrono::seconds(1);

constexpr std::size_t kMaxRequestBytes = 4U << 10U;

// Time for a connection to an endpoint, as for this process's own requests.
constexpr auto kConnectTimeout = std::chrono::milliseconds(400);

constexpr Millis kAcceptRetryInterval = 40;

constexpr std::size_t kBufferBytes = 8U << 10U;

// HTTP/1.1 as Boost.Beast encodes it.
constexpr unsigned kHttpVersion = 11;

// The two connections of a tunnel.
struct Tunnel {
  tcp::socket peer;
  tcp::socket endpoint;
};

void close(Tunnel& tunnel) {
  error_code ignored;
  tunnel.peer.close(ignored);
  tunnel.endpoint.close(ignored);
}

// Closes the socket so that the other side sees that the connection failed.
void reset(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

// Reads the head of a response from the bytes that pass.
class HeadObserver {
 public:
  // Takes the next bytes. Returns whether the head is complete with them.
  bool take(const char* bytes, std::size_t size) {
    if (is_over_) return false;
    if (buffer_.size() + size > kMaxReadAheadBytes) {
      is_over_ = true;
      return false;
    }
    const auto copied =
        asio::buffer_copy(buffer_.prepare(size), asio::buffer(bytes, size));
    buffer_.commit(copied);
    error_code failed;
    buffer_.consume(parser_.put(buffer_.data(), failed));
    is_over_ = parser_.is_header_done() ||
               (failed && failed != http::error::need_more);
    return parser_.is_header_done();
  }

  unsigned status() const { return parser_.get().result_int(); }

  std::vector<HttpHeader> headers() const {
    std::vector<HttpHeader> fields;
    for (const auto& field : parser_.get()) {
      fields.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    }
    return fields;
  }

 private:
  bool is_over_ = false;
  beast::flat_buffer buffer_;
  http::response_parser<http::buffer_body> parser_;
};

// Passes on what the peer sends until it ends the tunnel. An endpoint may have
// answered before it takes no more, so the answer is still passed on then.
awaitable<void> pass_to_endpoint(std::shared_ptr<Tunnel> tunnel) {
  std::array<char, kBufferBytes> buffer;
  bool takes_more = true;
  while (true) {
    error_code failed;
    const std::size_t size = co_await tunnel->peer.async_read_some(
        asio::buffer(buffer),
        asio::redirect_error(asio::use_awaitable, failed));
    if (failed) break;
    if (!takes_more) continue;
    co_await asio::async_write(
        tunnel->endpoint, asio::buffer(buffer.data(), size),
        asio::redirect_error(asio::use_awaitable, failed));
    takes_more = !failed;
  }
  close(*tunnel);
}

awaitable<void> pass_to_peer(std::shared_ptr<Tunnel> tunnel,
                             std::function<void(const HeadObserver&)> on_head) {
  std::array<char, kBufferBytes> buffer;
  HeadObserver observer;
  while (true) {
    error_code failed;
    const std::size_t size = co_await tunnel->endpoint.async_read_some(
        asio::buffer(buffer),
        asio::redirect_error(asio::use_awaitable, failed));
    if (failed == asio::error::eof) {
      error_code ignored;
      tunnel->peer.shutdown(tcp::socket::shutdown_send, ignored);
      co_return;
    }
    if (failed) {
      reset(tunnel->peer);
      break;
    }
    if (observer.take(buffer.data(), size)) on_head(observer);
    co_await asio::async_write(
        tunnel->peer, asio::buffer(buffer.data(), size),
        asio::redirect_error(asio::use_awaitable, failed));
    if (failed) break;
  }
  close(*tunnel);
}

awaitable<void> send_answer(beast::tcp_stream& stream, http::status status,
                            std::string_view failure, Millis declined_for) {
  http::response<http::empty_body> message{status, kHttpVersion};
  if (!failure.empty()) {
    message.set(kTunnelFailureHeader, failure);
    message.set(kDeclinedForHeader, std::to_string(declined_for));
    message.content_length(0);
  }
  stream.expires_after(kRequestTimeout);
  error_code ignored;
  co_await http::async_write(
      stream, message, asio::redirect_error(asio::use_awaitable, ignored));
}

// Reads a peer's request; none if it is not valid.
awaitable<std::optional<TunnelRequest>> read_request(
    beast::tcp_stream& stream) {
  beast::flat_buffer buffer(kMaxRequestBytes + kHeaderReadBytes);
  http::request_parser<http::empty_body> parser;
  stream.expires_after(kRequestTimeout);
  const error_code failed =
      co_await read_header(stream, buffer, parser, kMaxRequestBytes);
  const bool is_valid = !failed && buffer.size() == 0 &&
                        parser.get().method() == http::verb::connect;
  if (!is_valid) co_return std::nullopt;
  TunnelRequest request;
  request.endpoint = std::string(parser.get().target());
  request.is_resumed = parser.get().count(kResumedHeader) > 0;
  co_return request;
}

}  // namespace

TunnelServer::TunnelServer(asio::io_context& io, TunnelHandlers handlers)
    : io_(io),
      handlers_(std::move(handlers)),
      open_(std::make_shared<std::size_t>(0)) {}

Result<std::uint16_t> TunnelServer::start(const HttpTarget& listen) {
  Result<tcp::acceptor> listening = listen_on(io_, listen.address, listen.port);
  if (!ok(listening)) return error(listening);
  auto acceptor = std::make_shared<tcp::acceptor>(
      std::get<tcp::acceptor>(std::move(listening)));
  const std::uint16_t port = acceptor->local_endpoint().port();
  co_spawn(io_, accept(std::move(acceptor)), asio::detached);
  return port;
}

awaitable<void> TunnelServer::accept(std::shared_ptr<tcp::acceptor> acceptor) {
  while (true) {
    error_code failed;
    tcp::socket socket = co_await acceptor->async_accept(
        asio::redirect_error(asio::use_awaitable, failed));
    if (failed == asio::error::operation_aborted) co_return;
    if (failed) {
      co_await sleep_for(kAcceptRetryInterval);
      continue;
    }
    co_spawn(io_, serve(std::move(socket)), asio::detached);
  }
}

awaitable<void> TunnelServer::serve(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  enable_dead_peer_detection(socket);
  beast::tcp_stream peer(std::move(socket));
  const auto request = co_await read_request(peer);
  if (!request) co_return;
  const TunnelAnswer answer = handlers_.on_request(*request);
  const auto target = handlers_.find_endpoint(request->endpoint);
  if (answer.verdict != TunnelVerdict::kOpen || !target) {
    const bool is_declined = answer.verdict == TunnelVerdict::kDeclined;
    co_await send_answer(peer, http::status::service_unavailable,
                         is_declined ? kFailureDeclined : kFailureUnavailable,
                         answer.retry_after);
    co_return;
  }
  *open_ += 1;
  const std::shared_ptr<void> counted(nullptr,
                                      [open = open_](void*) { *open -= 1; });
  beast::tcp_stream endpoint(io_);
  endpoint.expires_after(kConnectTimeout);
  error_code failed;
  const tcp::endpoint address(asio::ip::make_address(target->address, failed),
                              target->port);
  if (!failed) {
    co_await endpoint.async_connect(
        address, asio::redirect_error(asio::use_awaitable, failed));
  }
  if (failed) {
    handlers_.on_unreachable(request->endpoint);
    const bool is_available =
        handlers_.on_request(*request).verdict != TunnelVerdict::kUnavailable;
    co_await send_answer(
        peer, http::status::service_unavailable,
        is_available ? kFailureUnreachable : kFailureUnavailable, 0);
    co_return;
  }
  endpoint.socket().set_option(tcp::no_delay(true), ignored);
  enable_dead_peer_detection(endpoint.socket());
  const Millis connected_at = monotonic_now();
  co_await send_answer(peer, http::status::ok, "", 0);
  const auto tunnel = std::make_shared<Tunnel>(
      Tunnel{peer.release_socket(), endpoint.release_socket()});
  const auto on_head = [this, id = request->endpoint,
                        connected_at](const HeadObserver& head) {
    handlers_.on_response({id, head.status(), head.headers(), connected_at});
  };
  co_spawn(io_, pass_to_peer(tunnel, on_head), asio::detached);
  co_await pass_to_endpoint(tunnel);
}

}  // namespace peridotreach
