#include "peridot-router/caller_session.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

#include "libperidotreach/routing/planned_stop.h"
#include "peridot-router/router_node.h"
#include "runtime/http_server.h"
#include "runtime/socket_state.h"
#include "runtime/transfer_coding.h"

namespace peridotreach {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned kHttpVersion = 11;

constexpr unsigned kBadRequestStatus = 400;

// Number of bytes read at once while waiting for a request; most requests fit.
constexpr std::size_t kReadBytes = 4096;

// Time for a caller to receive a write. A caller that receives nothing for
// longer is considered gone.
constexpr auto kWriteTimeout = std::chrono::seconds(30);

auto in(Millis timeout) { return std::chrono::milliseconds(timeout); }

RawRequest to_raw_request(http::request<http::string_body>& message) {
  RawRequest raw;
  raw.method = std::string(message.method_string());
  raw.target = std::string(message.target());
  for (const auto& field : message) {
    raw.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  raw.body = std::move(message.body());
  return raw;
}

// Returns the status for a request that could not be parsed.
unsigned status_for(error_code reason) {
  if (reason == http::error::header_limit) return 431;
  if (reason == http::error::body_limit) return 413;
  return kBadRequestStatus;
}

}  // namespace

CallerSession::CallerSession(tcp::socket socket, RouterNode& node)
    : stream_(std::move(socket)), node_(node) {}

void CallerSession::close_if_idle() {
  if (!has_served_ || has_open_request()) return;
  error_code ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
  stream_.close();
}

bool CallerSession::has_open_request() {
  return !idle_ || socket_state(stream_.socket()) == SocketState::kBytesArrived;
}

awaitable<bool> CallerSession::wait_for_request() {
  if (buffer_.size() > 0) co_return true;
  // During a shutdown a connection still gets one request answered, with the
  // notice that it is closed: a caller that has just connected learned of this
  // address before, and one that keeps its connection may be sending.
  idle_ = true;
  error_code failed;
  stream_.expires_after(in(node_.stopping()
                               ? kLastRequestWait
                               : node_.caller_limits().idle_timeout));
  const std::size_t bytes_read = co_await stream_.async_read_some(
      buffer_.prepare(kReadBytes),
      asio::redirect_error(asio::use_awaitable, failed));
  buffer_.commit(bytes_read);
  idle_ = false;
  co_return !failed;
}

awaitable<bool> CallerSession::read_request(Parser& parser) {
  const CallerLimits& limits = node_.caller_limits();
  parser.header_limit(limits.max_header_bytes);
  parser.body_limit(limits.max_body_bytes);
  parser.eager(true);
  error_code failed;
  stream_.expires_after(in(limits.header_timeout));
  co_await http::async_read_header(
      stream_, buffer_, parser,
      asio::redirect_error(asio::use_awaitable, failed));
  if (!failed && !has_known_transfer_coding(parser.get())) {
    // Where its body ends, and the next request begins, is unknown.
    co_await reject_unreadable(kBadRequestStatus);
    co_return false;
  }
  if (!failed && !parser.is_done()) {
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      http::response<http::empty_body> interim_response(http::status::continue_,
                                                        kHttpVersion);
      co_await http::async_write(
          stream_, interim_response,
          asio::redirect_error(asio::use_awaitable, failed));
    }
    stream_.expires_after(in(limits.idle_timeout));
    if (!failed) {
      co_await http::async_read(
          stream_, buffer_, parser,
          asio::redirect_error(asio::use_awaitable, failed));
    }
  }
  stream_.expires_never();
  if (!failed) co_return true;
  if (is_answerable_read_error(failed))
    co_await reject_unreadable(status_for(failed));
  co_return false;
}

awaitable<void> CallerSession::reject_unreadable(unsigned status) {
  CallerResponse response;
  response.status = status;
  response.headers = {{"Content-Type", "text/plain"}};
  response.body = "the request could not be read\n";
  co_await write_response(response, false, false);
}

awaitable<void> CallerSession::run() {
  const auto self = shared_from_this();
  while (co_await wait_for_request()) {
    auto parser = std::make_unique<Parser>();
    if (!co_await read_request(*parser)) break;
    const bool keep_alive = parser->get().keep_alive();
    const auto exchange = node_.open_exchange(to_raw_request(parser->get()));
    parser.reset();
    const bool open = co_await serve(exchange, keep_alive);
    has_served_ = true;
    node_.close_exchange(*exchange);
    if (!open || caller_disconnected_) break;
  }
  error_code ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

void CallerSession::watch_for_disconnect(
    const std::shared_ptr<RequestExchange>& exchange) {
  stream_.socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this(), exchange](error_code failed) {
        if (failed || exchange->closed()) return;
        // Pending bytes are the caller's next request: it is still there.
        if (socket_state(self->stream_.socket()) != SocketState::kClosed)
          return;
        self->caller_disconnected_ = true;
        self->node_.on_caller_disconnected(*exchange);
        exchange->abort();
      });
}

awaitable<bool> CallerSession::serve(
    const std::shared_ptr<RequestExchange>& exchange, bool keep_alive) {
  node_.start_exchange(exchange);
  watch_for_disconnect(exchange);
  bool open = false;
  while (true) {
    co_await exchange->wait_for_change();
    if (caller_disconnected_) break;
    if (auto response = exchange->take_response()) {
      const bool stays_open = keep_alive && !node_.stopping();
      const bool is_head = exchange->request().method == "HEAD";
      open =
          co_await write_response(*response, stays_open, is_head) && stays_open;
      break;
    }
    if (const auto head = exchange->take_head()) {
      const bool stays_open = keep_alive && !node_.stopping();
      open = co_await write_response_head(*head, stays_open) &&
             co_await relay_stream(*exchange) && stays_open;
      break;
    }
    if (exchange->aborted()) break;
  }
  exchange->close();
  error_code ignored;
  stream_.socket().cancel(ignored);
  co_return open;
}

awaitable<bool> CallerSession::relay_stream(RequestExchange& exchange) {
  while (true) {
    co_await exchange.wait_for_change();
    if (caller_disconnected_) co_return false;
    std::string bytes = exchange.take_bytes();
    const bool last = exchange.finished();
    if (!bytes.empty() || last) {
      if (!co_await write_chunk(std::move(bytes), last)) {
        node_.on_caller_disconnected(exchange);
        co_return false;
      }
      if (last) co_return true;
      continue;
    }
    if (exchange.aborted()) co_return false;
  }
}

awaitable<bool> CallerSession::write_response(CallerResponse& response,
                                              bool keep_alive, bool is_head) {
  http::response<http::string_body> message;
  message.version(kHttpVersion);
  message.result(response.status);
  for (const HttpHeader& header : response.headers) {
    message.insert(header.name, header.value);
  }
  message.keep_alive(keep_alive);
  if (!is_head) {
    message.body() = std::move(response.body);
    message.content_length(message.body().size());
  }
  error_code failed;
  stream_.expires_after(kWriteTimeout);
  co_await http::async_write(stream_, message,
                             asio::redirect_error(asio::use_awaitable, failed));
  stream_.expires_never();
  co_return !failed;
}

awaitable<bool> CallerSession::write_response_head(const CallerResponse& head,
                                                   bool keep_alive) {
  http::response<http::empty_body> message;
  message.version(kHttpVersion);
  message.result(head.status);
  for (const HttpHeader& header : head.headers) {
    message.insert(header.name, header.value);
  }
  message.keep_alive(keep_alive);
  message.chunked(true);
  http::response_serializer<http::empty_body> serializer(message);
  error_code failed;
  stream_.expires_after(kWriteTimeout);
  co_await http::async_write_header(
      stream_, serializer, asio::redirect_error(asio::use_awaitable, failed));
  stream_.expires_never();
  co_return !failed;
}

awaitable<bool> CallerSession::write_chunk(std::string bytes, bool last) {
  std::string framed;
  if (!bytes.empty()) {
    constexpr int kHexBase = 16;
    char size[kHexBase + 1] = {};
    const auto end =
        std::to_chars(size, size + kHexBase, bytes.size(), kHexBase).ptr;
    framed.append(size, end);
    framed += "\r\n";
    framed += bytes;
    framed += "\r\n";
  }
  if (last) framed += "0\r\n\r\n";
  error_code failed;
  stream_.expires_after(kWriteTimeout);
  co_await asio::async_write(stream_, asio::buffer(framed),
                             asio::redirect_error(asio::use_awaitable, failed));
  stream_.expires_never();
  co_return !failed;
}

}  // namespace peridotreach
