#include "runtime/http_server.h"

#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <exception>
#include <optional>
#include <utility>

#include "runtime/log.h"

namespace peridotreach {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// Time for a peer to send a request or take a chunk.
constexpr auto kPeerTimeout = std::chrono::seconds(60);

constexpr unsigned kHttpVersion = 11;

std::string lowercase(std::string_view text) {
  std::string lower;
  for (const char c : text) {
    const bool upper = c >= 'A' && c <= 'Z';
    lower += upper ? static_cast<char>(c - 'A' + 'a') : c;
  }
  return lower;
}

HttpRequest request_from(http::request<http::string_body>& message) {
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

awaitable<void> refuse_unread(beast::tcp_stream& stream, error_code reason) {
  const bool too_large =
      reason == http::error::body_limit || reason == http::error::header_limit;
  HttpExchange exchange(stream, HttpRequest(), false);
  HttpResponse response = error_response(
      too_large ? 413 : 400, too_large ? "too_large" : "malformed_request",
      "the request could not be read: " + reason.message(),
      too_large ? "send a smaller request" : "send valid HTTP/1.1");
  co_await exchange.respond(std::move(response));
}

awaitable<void> serve_connection(tcp::socket socket, HttpLimits limits,
                                 HttpHandler handler) {
  socket.set_option(tcp::no_delay(true));
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  while (true) {
    std::optional<http::request_parser<http::string_body>> parser;
    parser.emplace();
    parser->body_limit(limits.body_bytes);
    parser->header_limit(limits.header_bytes);
    stream.expires_after(kPeerTimeout);
    error_code failed;
    co_await http::async_read(
        stream, buffer, *parser,
        asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
      if (worth_answering(failed)) co_await refuse_unread(stream, failed);
      break;
    }
    stream.expires_never();
    const bool keep_alive = parser->get().keep_alive();
    HttpExchange exchange(stream, request_from(parser->get()), keep_alive);
    parser.reset();
    co_await handler(exchange);
    if (!exchange.answered() || exchange.failed() || !keep_alive) break;
  }
  error_code ignored;
  stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

awaitable<void> accept_connections(tcp::acceptor acceptor, HttpLimits limits,
                                   HttpHandler handler) {
  while (true) {
    error_code failed;
    tcp::socket socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, failed));
    if (failed == asio::error::operation_aborted) co_return;
    if (failed) continue;
    const auto on_end = [](const std::exception_ptr& problem) {
      if (!problem) return;
      try {
        std::rethrow_exception(problem);
      } catch (const std::exception& e) {
        log(LogLevel::kError, "handler failed", {{"cause", e.what()}});
      }
    };
    co_spawn(acceptor.get_executor(),
             serve_connection(std::move(socket), limits, handler), on_end);
  }
}

}  // namespace

bool worth_answering(error_code reason) {
  return reason.category() ==
             http::make_error_code(http::error::end_of_stream).category() &&
         reason != http::error::end_of_stream &&
         reason != http::error::partial_message;
}

Result<tcp::acceptor> listen_on(asio::io_context& io,
                                const std::string& address,
                                std::uint16_t port) {
  error_code failed;
  const auto ip = asio::ip::make_address(address, failed);
  if (failed) {
    return Error{ErrorKind::kInvalidInput,
                 "\"" + address + "\" is no IP address",
                 "give the address of this VM in numbers"};
  }
  const tcp::endpoint endpoint(ip, port);
  tcp::acceptor acceptor(io);
  acceptor.open(endpoint.protocol(), failed);
  if (!failed) acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
  if (!failed) acceptor.bind(endpoint, failed);
  if (!failed)
    acceptor.listen(asio::socket_base::max_listen_connections, failed);
  if (failed) {
    return Error{ErrorKind::kUnavailable,
                 "cannot listen on " + address + ":" + std::to_string(port) +
                     ": " + failed.message(),
                 "choose a free port or stop its present holder"};
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
  error_code failed;
  stream_.expires_after(kPeerTimeout);
  co_await http::async_write(stream_, message,
                             asio::redirect_error(asio::use_awaitable, failed));
  if (failed) failed_ = true;
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
  error_code failed;
  stream_.expires_after(kPeerTimeout);
  co_await http::async_write_header(
      stream_, serializer, asio::redirect_error(asio::use_awaitable, failed));
  if (failed) failed_ = true;
  co_return !failed;
}

awaitable<bool> HttpExchange::write(std::string_view chunk) {
  if (failed_) co_return false;
  if (chunk.empty()) co_return true;
  error_code failed;
  stream_.expires_after(kPeerTimeout);
  const auto chunks =
      http::make_chunk(asio::const_buffer(chunk.data(), chunk.size()));
  co_await asio::async_write(stream_, chunks,
                             asio::redirect_error(asio::use_awaitable, failed));
  if (failed) failed_ = true;
  co_return !failed;
}

awaitable<void> HttpExchange::finish_stream() {
  if (failed_) co_return;
  error_code failed;
  stream_.expires_after(kPeerTimeout);
  const auto last = http::make_chunk_last();
  co_await asio::async_write(stream_, last,
                             asio::redirect_error(asio::use_awaitable, failed));
  if (failed) failed_ = true;
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
  boost::json::object inner;
  inner["type"] = status < 500 ? "invalid_request_error" : "server_error";
  inner["code"] = code;
  inner["message"] = message + "; " + remedy;
  inner["param"] = nullptr;
  body["error"] = std::move(inner);
  HttpResponse response;
  response.status = status;
  response.body = boost::json::serialize(body);
  return response;
}

}  // namespace peridotreach
