#include "runtime/http_server.h"

#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <exception>
#include <list>
#include <memory>
#include <optional>
#include <utility>

#include "runtime/arriving_body.h"
#include "runtime/clock.h"
#include "runtime/http_framing.h"
#include "runtime/http_header.h"
#include "runtime/log.h"
#include "runtime/transfer_coding.h"

namespace peridotreach {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// Time limit for receiving a request and for writing a response or chunk.
constexpr auto kPeerTimeout = std::chrono::seconds(60);

// Time until accepting is tried again after it failed.
constexpr Millis kAcceptRetryInterval = 40;

// HTTP/1.1 as Boost.Beast encodes it.
constexpr unsigned kHttpVersion = 11;

std::string lowercase(std::string_view text) {
  std::string lower;
  for (const char c : text) {
    const bool upper = c >= 'A' && c <= 'Z';
    lower += upper ? static_cast<char>(c - 'A' + 'a') : c;
  }
  return lower;
}

HttpRequest convert_request(http::request<ArrivingBody>& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  split_target(std::string(message.target()), request);
  for (const auto& field : message) {
    request.headers[lowercase(field.name_string())] =
        std::string(field.value());
  }
  request.body = std::move(message.body());
  return request;
}

awaitable<void> respond_to_read_error(beast::tcp_stream& stream,
                                      error_code reason) {
  const bool too_large =
      reason == http::error::body_limit || reason == http::error::header_limit;
  HttpExchange exchange(stream, HttpRequest(), false);
  HttpResponse response = error_response(
      too_large ? 413 : 400, too_large ? "too_large" : "malformed_request",
      "the request could not be read: " + reason.message(),
      too_large ? "send a smaller request" : "send valid HTTP/1.1");
  co_await exchange.respond(std::move(response));
}

// The open connections of a server, the first one in front.
using OpenConnections = std::list<beast::tcp_stream*>;

awaitable<void> serve_connection(tcp::socket socket, HttpLimits limits,
                                 HttpHandler handler,
                                 std::shared_ptr<OpenConnections> open) {
  socket.set_option(tcp::no_delay(true));
  beast::tcp_stream stream(std::move(socket));
  if (limits.connections > 0 && open->size() >= limits.connections) {
    open->front()->close();
    open->pop_front();
  }
  open->push_back(&stream);
  // Also runs if the handler throws.
  const std::shared_ptr<void> at_end(
      nullptr, [&](void*) { std::erase(*open, &stream); });
  beast::flat_buffer buffer(limits.header_bytes + kMaxReadAheadBytes);
  while (true) {
    std::optional<http::request_parser<ArrivingBody>> parser;
    parser.emplace();
    parser->body_limit(limits.body_bytes);
    parser->header_limit(limits.header_bytes);
    stream.expires_after(kPeerTimeout);
    error_code ec =
        co_await read_header(stream, buffer, *parser, limits.header_bytes);
    if (!ec && !parser->is_done()) {
      co_await http::async_read(stream, buffer, *parser,
                                asio::redirect_error(asio::use_awaitable, ec));
    }
    if (!ec && !has_known_transfer_coding(parser->get()))
      ec = http::error::bad_transfer_encoding;
    if (ec) {
      if (is_answerable_read_error(ec))
        co_await respond_to_read_error(stream, ec);
      break;
    }
    stream.expires_never();
    const bool keep_alive = parser->get().keep_alive();
    HttpExchange exchange(stream, convert_request(parser->get()), keep_alive);
    parser.reset();
    co_await handler(exchange);
    if (!exchange.answered() || exchange.failed() || !keep_alive) break;
  }
  error_code ignored;
  stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

awaitable<void> accept_connections(tcp::acceptor acceptor, HttpLimits limits,
                                   HttpHandler handler) {
  const auto open = std::make_shared<OpenConnections>();
  while (true) {
    error_code ec;
    tcp::socket socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted) co_return;
    if (ec) {
      // The process is out of file descriptors; some become free.
      co_await sleep_for(kAcceptRetryInterval);
      continue;
    }
    const auto on_end = [](const std::exception_ptr& exception) {
      if (!exception) return;
      try {
        std::rethrow_exception(exception);
      } catch (const std::exception& e) {
        log(LogLevel::kError, "HTTP connection ended by an exception",
            {{"cause", e.what()}});
      }
    };
    co_spawn(acceptor.get_executor(),
             serve_connection(std::move(socket), limits, handler, open),
             on_end);
  }
}

}  // namespace

bool is_answerable_read_error(error_code reason) {
  return reason.category() ==
             http::make_error_code(http::error::end_of_stream).category() &&
         reason != http::error::end_of_stream &&
         reason != http::error::partial_message;
}

Result<tcp::acceptor> listen_on(asio::io_context& io,
                                const std::string& address,
                                std::uint16_t port) {
  error_code ec;
  const auto ip = asio::ip::make_address(address, ec);
  if (ec) {
    return Error{ErrorKind::kInvalidInput,
                 "\"" + address + "\" is not an IP address",
                 "use a numeric IP address of this VM"};
  }
  const tcp::endpoint endpoint(ip, port);
  tcp::acceptor acceptor(io);
  acceptor.open(endpoint.protocol(), ec);
  if (!ec) acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor.bind(endpoint, ec);
  if (!ec) acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) {
    return Error{ErrorKind::kUnavailable,
                 "cannot listen on " + address + ":" + std::to_string(port) +
                     ": " + ec.message(),
                 "choose a free port or stop the process that uses it"};
  }
  return acceptor;
}

HttpExchange::HttpExchange(beast::tcp_stream& stream, HttpRequest request,
                           bool keep_alive)
    : stream_(stream), request_(std::move(request)), keep_alive_(keep_alive) {}

awaitable<void> HttpExchange::respond(HttpResponse response) {
  http::response<http::string_body> message(
      static_cast<http::status>(response.status), kHttpVersion);
  message.set(http::field::content_type, response.content_type);
  for (const HttpHeader& header : response.headers) {
    message.set(header.name, header.value);
  }
  message.body() = std::move(response.body);
  message.keep_alive(keep_alive_);
  message.prepare_payload();
  answered_ = true;
  error_code ec;
  stream_.expires_after(kPeerTimeout);
  co_await http::async_write(stream_, message,
                             asio::redirect_error(asio::use_awaitable, ec));
  if (ec) failed_ = true;
}

awaitable<bool> HttpExchange::start_stream(
    const std::string& content_type, const std::vector<HttpHeader>& headers) {
  http::response<http::empty_body> head(http::status::ok, kHttpVersion);
  head.set(http::field::content_type, content_type);
  head.set(http::field::cache_control, "no-cache");
  for (const HttpHeader& header : headers) {
    head.set(header.name, header.value);
  }
  head.keep_alive(keep_alive_);
  head.chunked(true);
  answered_ = true;
  http::response_serializer<http::empty_body> serializer(head);
  error_code ec;
  stream_.expires_after(kPeerTimeout);
  co_await http::async_write_header(
      stream_, serializer, asio::redirect_error(asio::use_awaitable, ec));
  if (ec) failed_ = true;
  co_return !ec;
}

awaitable<bool> HttpExchange::write(std::string_view chunk) {
  if (failed_) co_return false;
  if (chunk.empty()) co_return true;
  error_code ec;
  stream_.expires_after(kPeerTimeout);
  const auto chunks =
      http::make_chunk(asio::const_buffer(chunk.data(), chunk.size()));
  co_await asio::async_write(stream_, chunks,
                             asio::redirect_error(asio::use_awaitable, ec));
  if (ec) failed_ = true;
  co_return !ec;
}

awaitable<void> HttpExchange::finish_stream() {
  if (failed_) co_return;
  error_code ec;
  stream_.expires_after(kPeerTimeout);
  const auto last = http::make_chunk_last();
  co_await asio::async_write(stream_, last,
                             asio::redirect_error(asio::use_awaitable, ec));
  if (ec) failed_ = true;
}

Result<std::uint16_t> start_http_server(asio::io_context& io,
                                        const std::string& address,
                                        std::uint16_t port,
                                        const HttpLimits& limits,
                                        HttpHandler handler) {
  Result<tcp::acceptor> listening = listen_on(io, address, port);
  if (!ok(listening)) return error(listening);
  auto& acceptor = std::get<tcp::acceptor>(listening);
  const std::uint16_t bound = acceptor.local_endpoint().port();
  co_spawn(io,
           accept_connections(std::move(acceptor), limits, std::move(handler)),
           asio::detached);
  return bound;
}

HttpResponse json_response(unsigned status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

HttpResponse text_response(unsigned status, std::string body) {
  HttpResponse response = json_response(status, std::move(body));
  response.content_type = "text/plain";
  return response;
}

HttpResponse error_response(unsigned status, const std::string& code,
                            const std::string& message,
                            const std::string& remedy) {
  boost::json::object body;
  boost::json::object details;
  details["type"] = status < 500 ? "invalid_request_error" : "server_error";
  details["code"] = code;
  details["message"] = message + "; " + remedy;
  details["param"] = nullptr;
  body["error"] = std::move(details);
  HttpResponse response;
  response.status = status;
  response.body = boost::json::serialize(body);
  return response;
}

}  // namespace peridotreach
