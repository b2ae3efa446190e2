#include "runtime/http_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <utility>

#include "runtime/clock.h"
#include "runtime/log.h"

namespace peridotreach {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kHttpVersion = 11;

// The largest whole answer read, in bytes.
constexpr std::size_t kMostAnswer = 16u << 20u;

// Keep-alive probes find a peer that went dark within about four seconds.
constexpr int kProbeAfterSeconds = 2;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbes = 2;

// Bytes that stay unacknowledged for this long end the connection.
constexpr unsigned kUnacknowledgedMs = 4000;

template <class Number>
void set_tcp_option(tcp::socket& socket, int option, Number number) {
  const int failed = setsockopt(socket.native_handle(), IPPROTO_TCP, option,
                                &number, sizeof number);
  if (failed != 0) {
    log(LogLevel::kDebug, "a TCP option cannot be set here",
        {{"option", std::to_string(option)}});
  }
}

void watch_for_silence(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  set_tcp_option(socket, TCP_KEEPIDLE, kProbeAfterSeconds);
  set_tcp_option(socket, TCP_KEEPINTVL, kProbeIntervalSeconds);
  set_tcp_option(socket, TCP_KEEPCNT, kProbes);
  set_tcp_option(socket, TCP_USER_TIMEOUT, kUnacknowledgedMs);
}

auto in(Millis timeout) { return std::chrono::milliseconds(timeout); }

}  // namespace

HttpConnection::HttpConnection(asio::io_context& io) : stream_(io) {}

awaitable<bool> HttpConnection::connect(HttpTarget target, Millis timeout) {
  error_code failed;
  const auto ip = asio::ip::make_address(target.address, failed);
  if (failed) co_return false;
  host_ = place_of(target);
  stream_.expires_after(in(timeout));
  const tcp::endpoint endpoint(ip, target.port);
  co_await stream_.async_connect(
      endpoint, asio::redirect_error(asio::use_awaitable, failed));
  if (failed) co_return false;
  error_code ignored;
  stream_.socket().set_option(tcp::no_delay(true), ignored);
  watch_for_silence(stream_.socket());
  co_return true;
}

awaitable<bool> HttpConnection::send(ClientRequest request, Millis timeout) {
  http::request<http::string_body> message;
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
  message.body() = std::move(request.body);
  message.prepare_payload();
  parser_.emplace();
  ended_ = false;
  if (request.method == "HEAD") parser_->skip(true);
  parser_->body_limit(boost::none);
  sent_ = true;
  stream_.expires_after(in(timeout));
  error_code failed;
  co_await http::async_write(stream_, message,
                             asio::redirect_error(asio::use_awaitable, failed));
  co_return !failed;
}

awaitable<unsigned> HttpConnection::read_head(Millis timeout) {
  stream_.expires_after(in(timeout));
  error_code failed;
  co_await http::async_read_header(
      stream_, buffer_, *parser_,
      asio::redirect_error(asio::use_awaitable, failed));
  if (failed) co_return 0;
  co_return parser_->get().result_int();
}

awaitable<std::string> HttpConnection::read_some(Millis timeout) {
  std::string& body = parser_->get().body();
  while (body.empty()) {
    if (parser_->is_done()) {
      ended_ = true;
      co_return std::string();
    }
    stream_.expires_after(in(timeout));
    error_code failed;
    co_await http::async_read_some(
        stream_, buffer_, *parser_,
        asio::redirect_error(asio::use_awaitable, failed));
    if (failed && body.empty()) {
      ended_ = failed == http::error::end_of_stream && parser_->is_done();
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
  std::vector<HttpHeader> all;
  for (const auto& field : parser_->get()) {
    all.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return all;
}

void HttpConnection::close() { stream_.close(); }

awaitable<ClientAnswer> exchange(asio::io_context& io, HttpTarget target,
                                 ClientRequest request, Millis timeout) {
  ClientAnswer answer;
  HttpConnection connection(io);
  const Millis until = monotonic_now() + timeout;
  if (!co_await connection.connect(target, timeout)) co_return answer;
  const bool whole = co_await connection.send(std::move(request), timeout);
  answer.sent = connection.sent();
  if (!whole) co_return answer;
  answer.status = co_await connection.read_head(
      std::max<Millis>(1, until - monotonic_now()));
  if (answer.status == 0) co_return answer;
  answer.content_type = connection.header("content-type");
  answer.ran = connection.header("peridot-ran");
  answer.retry_after =
      std::strtoll(connection.header("retry-after-ms").c_str(), nullptr, 10);
  while (!connection.ended()) {
    const Millis left = until - monotonic_now();
    if (left <= 0) co_return answer;
    const std::string part = co_await connection.read_some(left);
    if (part.empty() && !connection.ended()) co_return answer;
    answer.body += part;
    if (answer.body.size() > kMostAnswer) co_return answer;
  }
  answer.answered = true;
  co_return answer;
}

std::string place_of(const HttpTarget& target) {
  return target.address + ":" + std::to_string(target.port);
}

Result<HttpTarget> parse_place(const std::string& text) {
  const Error bad{ErrorKind::kInvalidInput,
                  "\"" + text + "\" is no ADDRESS:PORT",
                  "write an IP address and a port"};
  const std::size_t colon = text.rfind(':');
  if (colon == 0 || colon == std::string::npos) return bad;
  HttpTarget target;
  target.address = text.substr(0, colon);
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(begin, end, target.port);
  if (parsed.ec != std::errc() || parsed.ptr != end) return bad;
  return target;
}

Result<HttpTarget> parse_url(const std::string& url) {
  const std::string scheme = "http://";
  const Error bad{ErrorKind::kInvalidInput, "\"" + url + "\" is no URL here",
                  "write http://ADDRESS:PORT"};
  if (url.compare(0, scheme.size(), scheme) != 0) return bad;
  Result<HttpTarget> target = parse_place(url.substr(scheme.size()));
  if (!ok(target)) return bad;
  return target;
}

}  // namespace peridotreach
