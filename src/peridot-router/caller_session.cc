#include "peridot-router/caller_session.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

#include "libperidotreach/routing/memory_account.h"
#include "libperidotreach/routing/planned_stop.h"
#include "peridot-router/router_node.h"
#include "runtime/clock.h"
#include "runtime/http_framing.h"
#include "runtime/http_header.h"
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

// Number of bytes read at once of a body that does not fit into that.
constexpr std::size_t kBodyReadBytes = 16U << 10U;

// Receive buffer of a connection with a large request, in bytes: what arrives
// while the router does not read counts toward the memory of the process.
constexpr std::size_t kLargeRequestReceiveBytes = 64U << 10U;

// Memory of a large request beside its body and the parser's buffer, in bytes.
constexpr std::size_t kUnreadBytes = 2 * kLargeRequestReceiveBytes;

// Time for which a request waits for memory before it is refused. Requests that
// stall are ended within it.
constexpr Millis kMemoryWait = 3 * kSecond;

// Interval at which a request that waits for memory asks again.
constexpr Millis kMemoryRetryInterval = 40;

// Time after which a request that was refused for memory may be sent again. One
// that stalls gives way within it.
constexpr Millis kMemoryRetryAfter = kStalledAfter;

// Bounds of dropping what a caller sends on after it was refused.
constexpr Millis kDiscardTime = kSecond;
constexpr std::size_t kMaxDiscardedBytes = 1U << 20U;

// Time for a caller to receive a write. A caller that receives nothing for
// longer is considered gone.
constexpr auto kWriteTimeout = std::chrono::seconds(30);

auto in(Millis timeout) { return std::chrono::milliseconds(timeout); }

// Returns the request without its body.
RawRequest to_raw_request(const http::request<ArrivingBody>& message) {
  RawRequest raw;
  raw.method = std::string(message.method_string());
  raw.target = std::string(message.target());
  for (const auto& field : message) {
    raw.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return raw;
}

// Returns the status for a request that could not be parsed.
unsigned status_for(error_code reason) {
  if (reason == http::error::header_limit) return 431;
  if (reason == http::error::body_limit) return 413;
  return kBadRequestStatus;
}

}  // namespace

CallerSession::CallerSession(tcp::socket socket, std::uint64_t number,
                             RouterNode& node)
    : stream_(std::move(socket)),
      number_(number),
      node_(node),
      awaited_since_(monotonic_now()) {}

std::string CallerSession::caller_address() const {
  error_code failed;
  const tcp::endpoint caller = stream_.socket().remote_endpoint(failed);
  if (failed) return {};
  return format_host_port({caller.address().to_string(), caller.port()});
}

void CallerSession::close() {
  caller_disconnected_ = true;
  stream_.close();
}

void CallerSession::end_reading() {
  reading_ended_ = true;
  stream_.cancel();
}

void CallerSession::close_if_idle() {
  if (!has_served_ || has_open_request()) return;
  error_code ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
  stream_.close();
}

bool CallerSession::has_next_request() {
  return idle_ && socket_state(stream_.socket()) == SocketState::kBytesArrived;
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

awaitable<error_code> CallerSession::read_part(Parser& parser, Millis timeout) {
  const bool reads_header = !parser.is_header_done();
  const std::size_t most_ahead =
      kMaxReadAheadBytes +
      (reads_header ? node_.caller_limits().max_header_bytes : 0);
  parser.eager(!reads_header);
  Millis deadline = monotonic_now() + timeout;
  std::size_t header_bytes = 0;
  error_code failed;
  while (reads_header ? !parser.is_header_done() : !parser.is_done()) {
    if (buffer_.size() > 0) {
      if (reads_header) {
        failed = put_header(parser, buffer_, header_bytes,
                            node_.caller_limits().max_header_bytes);
      } else {
        buffer_.consume(parser.put(buffer_.data(), failed));
      }
      if (failed && failed != http::error::need_more) co_return failed;
      if (!failed) continue;
    }
    if (buffer_.size() >= most_ahead) co_return http::error::buffer_overflow;
    const std::size_t bytes =
        parser.get().body().size() < kReadBytes ? kReadBytes : kBodyReadBytes;
    const Millis asked_at = monotonic_now();
    if (!co_await obtain_memory(parser, bytes))
      co_return asio::error::no_memory;
    deadline += monotonic_now() - asked_at;
    stream_.expires_after(in(std::max<Millis>(0, deadline - monotonic_now())));
    const std::size_t bytes_read = co_await stream_.async_read_some(
        buffer_.prepare(bytes),
        asio::redirect_error(asio::use_awaitable, failed));
    buffer_.commit(bytes_read);
    awaited_since_ = monotonic_now();
    if (reading_ended_) co_return asio::error::no_memory;
    if (failed == asio::error::eof) co_return http::error::end_of_stream;
    if (failed) co_return failed;
  }
  co_return error_code();
}

awaitable<bool> CallerSession::obtain_memory(Parser& parser,
                                             std::size_t bytes) {
  std::string& body = parser.get().body();
  const std::size_t ahead =
      std::max(2 * buffer_.size(), buffer_.size() + bytes);
  std::size_t body_bytes = body.capacity();
  if (parser.is_header_done() && body.size() + ahead > body_bytes) {
    // What the sender declares bounds the growth but does not bring it about.
    const std::size_t most =
        body.size() + parser.content_length_remaining().value_or(
                          node_.caller_limits().max_body_bytes);
    body_bytes = std::min(
        std::max(2 * body.capacity(), body.size() + ahead),
        std::min<std::size_t>(most, node_.caller_limits().max_body_bytes));
  }
  // The first part of the buffer belongs to the connection.
  std::size_t held = body_bytes + ahead - std::min(ahead, kReadBytes);
  if (held > kSmallRequestBytes) held += kUnreadBytes;
  const Millis asked_at = monotonic_now();
  while (!reading_ended_ && !node_.hold_request(*this, held)) {
    if (monotonic_now() - asked_at >= kMemoryWait) co_return false;
    co_await sleep_for(kMemoryRetryInterval);
  }
  if (reading_ended_) co_return false;
  if (held > kSmallRequestBytes && body.capacity() <= kSmallRequestBytes) {
    error_code ignored;
    stream_.socket().set_option(
        asio::socket_base::receive_buffer_size(
            static_cast<int>(kLargeRequestReceiveBytes)),
        ignored);
  }
  if (body_bytes > body.capacity()) {
    // A string that holds something grows to twice its capacity at least.
    std::string grown;
    grown.reserve(body_bytes);
    grown.append(body);
    body.swap(grown);
  }
  co_return true;
}

awaitable<bool> CallerSession::read_request(Parser& parser,
                                            RawRequest& request) {
  const CallerLimits& limits = node_.caller_limits();
  parser.header_limit(limits.max_header_bytes);
  parser.body_limit(limits.max_body_bytes);
  error_code failed = co_await read_part(parser, limits.header_timeout);
  if (!failed && !has_known_transfer_coding(parser.get())) {
    // Where its body ends, and the next request begins, is unknown.
    co_await reject_unreadable(kBadRequestStatus);
    co_return false;
  }
  if (!failed) {
    // Trailers, which the parser adds to the header, are not forwarded.
    request = to_raw_request(parser.get());
  }
  if (!failed && !parser.is_done()) {
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      http::response<http::empty_body> interim_response(http::status::continue_,
                                                        kHttpVersion);
      stream_.expires_after(in(limits.idle_timeout));
      co_await http::async_write(
          stream_, interim_response,
          asio::redirect_error(asio::use_awaitable, failed));
    }
    if (!failed) {
      failed = co_await read_part(parser, node_.caller_limits().idle_timeout);
    }
  }
  stream_.expires_never();
  if (!failed) {
    request.body = std::move(parser.get().body());
    if (buffer_.capacity() > kReadBytes) buffer_.shrink_to_fit();
    co_return true;
  }
  if (failed == asio::error::no_memory)
    co_await refuse_for_memory(parser, request);
  else if (is_answerable_read_error(failed))
    co_await reject_unreadable(status_for(failed));
  co_return false;
}

awaitable<void> CallerSession::refuse_for_memory(Parser& parser,
                                                 const RawRequest& request) {
  parser.get().body() = std::string();
  buffer_.clear();
  buffer_.shrink_to_fit();
  CallerResponse response =
      node_.memory_refusal(*this, request, reading_ended_, kMemoryRetryAfter);
  const bool is_head = request.method == "HEAD";
  const bool is_written = co_await write_response(response, false, is_head);
  if (is_written) co_await discard_input();
}

awaitable<void> CallerSession::discard_input() {
  error_code failed;
  stream_.socket().shutdown(tcp::socket::shutdown_send, failed);
  const Millis end = monotonic_now() + kDiscardTime;
  std::size_t discarded = 0;
  while (!failed && discarded < kMaxDiscardedBytes && monotonic_now() < end) {
    stream_.expires_after(in(end - monotonic_now()));
    discarded += co_await stream_.async_read_some(
        buffer_.prepare(kReadBytes),
        asio::redirect_error(asio::use_awaitable, failed));
  }
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
    RawRequest request;
    if (!co_await read_request(*parser, request)) break;
    awaited_since_.reset();
    const bool keep_alive = parser->get().keep_alive();
    const auto exchange = node_.open_exchange(*this, std::move(request));
    parser.reset();
    const bool open = co_await serve(exchange, keep_alive);
    has_served_ = true;
    node_.close_exchange(*exchange);
    node_.release_request(*this);
    if (!open || caller_disconnected_) break;
    awaited_since_ = monotonic_now();
  }
  node_.release_request(*this);
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
    const bool last = exchange.finished() && !exchange.has_more_bytes();
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
