#include "runtime/http_client.h"

#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <utility>

#include "runtime/clock.h"
#include "runtime/dead_peer.h"
#include "runtime/http_framing.h"
#include "runtime/http_header.h"
#include "runtime/socket_state.h"

namespace peridotreach {
namespace {

namespace http = boost::beast::http;

// HTTP/1.1 as Boost.Beast encodes it.
constexpr unsigned kHttpVersion = 11;

auto to_duration(Millis timeout) { return std::chrono::milliseconds(timeout); }

}  // namespace

HttpConnection::HttpConnection(asio::io_context& io)
    : stream_(io), buffer_(kMaxReadAheadBytes) {}

awaitable<bool> HttpConnection::connect(HttpTarget target, Millis timeout) {
  error_code ec;
  const auto ip = asio::ip::make_address(target.address, ec);
  if (ec) co_return false;
  host_ = format_host_port(target);
  stream_.expires_after(to_duration(timeout));
  const tcp::endpoint endpoint(ip, target.port);
  co_await stream_.async_connect(endpoint,
                                 asio::redirect_error(asio::use_awaitable, ec));
  if (ec) co_return false;
  error_code ignored;
  stream_.socket().set_option(tcp::no_delay(true), ignored);
  enable_dead_peer_detection(stream_.socket());
  co_return true;
}

awaitable<bool> HttpConnection::send(ClientRequest request, Millis timeout) {
  http::request<http::span_body<const char>> message;
  message.method_string(request.method);
  message.target(request.target);
  message.version(kHttpVersion);
  message.set(http::field::host, request.host.empty() ? host_ : request.host);
  if (!request.content_type.empty()) {
    message.set(http::field::content_type, request.content_type);
  }
  for (const HttpHeader& header : request.headers) {
    message.insert(header.name, header.value);
  }
  const std::string_view body =
      request.body.empty() ? request.borrowed_body : request.body;
  message.body() = {body.data(), body.size()};
  message.prepare_payload();
  parser_.emplace();
  response_complete_ = false;
  if (request.method == "HEAD") parser_->skip(true);
  parser_->body_limit(boost::none);
  request_started_ = true;
  stream_.expires_after(to_duration(timeout));
  error_code ec;
  co_await http::async_write(stream_, message,
                             asio::redirect_error(asio::use_awaitable, ec));
  co_return !ec;
}

awaitable<unsigned> HttpConnection::read_head(Millis timeout) {
  stream_.expires_after(to_duration(timeout));
  const error_code failed =
      co_await read_header(stream_, buffer_, *parser_, kMaxReadAheadBytes);
  if (failed) co_return 0;
  co_return parser_->get().result_int();
}

awaitable<std::string> HttpConnection::read_some(Millis timeout) {
  std::string& body = parser_->get().body();
  stream_.expires_after(to_duration(timeout));
  while (body.empty()) {
    if (parser_->is_done()) {
      response_complete_ = true;
      co_return std::string();
    }
    error_code ec;
    co_await http::async_read_some(
        stream_, buffer_, *parser_,
        asio::redirect_error(asio::use_awaitable, ec));
    if (ec && body.empty()) {
      response_complete_ =
          ec == http::error::end_of_stream && parser_->is_done();
      co_return std::string();
    }
  }
  co_return std::exchange(body, std::string());
}

std::string HttpConnection::header(const std::string& name) const {
  const auto found = parser_->get().find(name);
  if (found == parser_->get().end()) return {};
  return std::string(found->value());
}

std::vector<HttpHeader> HttpConnection::headers() const {
  std::vector<HttpHeader> fields;
  for (const auto& field : parser_->get()) {
    fields.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return fields;
}

bool HttpConnection::is_reusable() {
  return response_complete_ && buffer_.size() == 0 &&
         socket_state(stream_.socket()) == SocketState::kNothingArrived;
}

void HttpConnection::close() { stream_.close(); }

namespace {

// Sends a request and reads the response until `deadline`.
awaitable<ClientResponse> exchange(HttpConnection& connection,
                                   ClientRequest request, Millis timeout,
                                   Millis deadline, std::size_t max_bytes) {
  ClientResponse answer;
  const bool fully_sent = co_await connection.send(std::move(request), timeout);
  answer.request_started = connection.request_started();
  if (!fully_sent) co_return answer;
  answer.status = co_await connection.read_head(
      std::max<Millis>(1, deadline - monotonic_now()));
  if (answer.status == 0) co_return answer;
  answer.content_type = connection.header("content-type");
  answer.closes_connection = connection.header("connection") == "close";
  answer.execution_status = connection.header("peridot-ran");
  answer.retry_after =
      std::strtoll(connection.header("retry-after-ms").c_str(), nullptr, 10);
  while (!connection.response_complete()) {
    const Millis remaining = deadline - monotonic_now();
    if (remaining <= 0) co_return answer;
    const std::string chunk = co_await connection.read_some(remaining);
    if (chunk.empty() && !connection.response_complete()) co_return answer;
    answer.body += chunk;
    if (answer.body.size() > max_bytes) co_return answer;
  }
  answer.complete = true;
  co_return answer;
}

}  // namespace

awaitable<ClientResponse> fetch_on(HttpConnection& connection,
                                   ClientRequest request, Millis timeout,
                                   std::size_t max_bytes) {
  const Millis deadline = monotonic_now() + timeout;
  co_return co_await exchange(connection, std::move(request), timeout, deadline,
                              max_bytes);
}

awaitable<ClientResponse> fetch_response(asio::io_context& io,
                                         HttpTarget target,
                                         ClientRequest request, Millis timeout,
                                         std::size_t max_bytes) {
  HttpConnection connection(io);
  const Millis deadline = monotonic_now() + timeout;
  if (!co_await connection.connect(std::move(target), timeout))
    co_return ClientResponse();
  co_return co_await exchange(connection, std::move(request), timeout, deadline,
                              max_bytes);
}

std::string format_host_port(const HttpTarget& target) {
  return target.address + ":" + std::to_string(target.port);
}

Result<HttpTarget> parse_host_port(const std::string& text) {
  const Error invalid{
      ErrorKind::kInvalidInput, "\"" + text + "\" is not a valid ADDRESS:PORT",
      "use an IP address and a port number, such as 127.0.0.1:8080"};
  const std::size_t colon = text.rfind(':');
  if (colon == 0 || colon == std::string::npos) return invalid;
  HttpTarget target;
  target.address = text.substr(0, colon);
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(begin, end, target.port);
  if (parsed.ec != std::errc() || parsed.ptr != end) return invalid;
  return target;
}

Result<HttpTarget> parse_http_url(const std::string& url) {
  const std::string scheme = "http://";
  const Error invalid{ErrorKind::kInvalidInput,
                      "\"" + url + "\" is not a supported URL",
                      "use the form http://ADDRESS:PORT"};
  if (url.compare(0, scheme.size(), scheme) != 0) return invalid;
  Result<HttpTarget> target = parse_host_port(url.substr(scheme.size()));
  if (!ok(target)) return invalid;
  return target;
}

}  // namespace peridotreach
