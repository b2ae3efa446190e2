#pragma once

// HTTP/1.1 client connections, with a timeout on each operation.

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libperidotreach/error.h"
#include "libperidotreach/time.h"
#include "runtime/arriving_body.h"
#include "runtime/asio.h"
#include "runtime/http_types.h"

namespace peridotreach {

// The IP address and port that a server listens on.
struct HttpTarget {
  std::string address;
  std::uint16_t port = 0;

  bool operator==(const HttpTarget&) const = default;
};

// Formats `target` as ADDRESS:PORT.
std::string format_host_port(const HttpTarget& target);

// Parses ADDRESS:PORT. The address itself is not validated.
Result<HttpTarget> parse_host_port(const std::string& text);

// An outgoing request. `target` is the path and query. If `host` is empty, the
// Host header is the server's address and port; if `content_type` is empty, the
// header is omitted.
struct ClientRequest {
  std::string method = "GET";
  std::string target = "/";
  std::string host;
  std::vector<HttpHeader> headers;
  std::string content_type = "application/json";
  std::string body;
  // Sent if `body` is empty. Its owner keeps it until the request was sent.
  std::string_view borrowed_body;
};

// A client connection, on which requests are sent one after another.
class HttpConnection {
 public:
  explicit HttpConnection(asio::io_context& io);

  // Connects within `timeout`. Returns whether the connection was established.
  awaitable<bool> connect(HttpTarget target, Millis timeout);

  // Sends a request. Returns whether it was written completely.
  awaitable<bool> send(ClientRequest request, Millis timeout);

  // Reads the status line and headers of the response. Returns the status code,
  // or 0 on failure.
  awaitable<unsigned> read_head(Millis timeout);

  // Reads more of the body within `timeout`, however many reads that takes.
  // Returns an empty string at the end
  // of the body, on failure and on timeout; only at the end the response counts
  // as read completely.
  awaitable<std::string> read_some(Millis timeout);

  // Returns the response header `name`, or an empty string if it is absent.
  std::string header(const std::string& name) const;

  // Returns all response headers in the order received.
  std::vector<HttpHeader> headers() const;

  // Returns whether sending of a request has begun. If not, the server cannot
  // have acted on it.
  bool request_started() const { return request_started_; }

  // Returns whether the response was read to its end.
  bool response_complete() const { return response_complete_; }

  // Returns whether the response has neither a length nor chunks, so that it
  // ends with the connection.
  bool response_ends_with_connection() const { return parser_->need_eof(); }

  // Returns whether another request may be sent after a complete response:
  // the server has neither closed the connection nor sent anything more, which
  // would be taken for the next response.
  bool is_reusable();

  // Closes the connection; pending operations fail.
  void close();

 private:
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::response_parser<ArrivingBody>> parser_;
  std::string host_;
  bool request_started_ = false;
  bool response_complete_ = false;
};

// The outcome of a request.
struct ClientResponse {
  // Whether a complete response was received.
  bool complete = false;
  // Whether sending of the request began. If not, the server cannot have acted
  // on it.
  bool request_started = false;
  unsigned status = 0;
  std::string content_type;
  // The peridot-ran header, in which entry VMs report whether a call was
  // executed.
  std::string execution_status;
  // The Retry-After-Ms header; 0 if absent.
  Millis retry_after = 0;
  // The server said that it closes the connection.
  bool closes_connection = false;
  std::string body;
};

// Largest response body that is read as a whole.
inline constexpr std::size_t kMaxResponseBytes = 16U << 20U;

// Sends a request on an open connection and reads the complete response, of at
// most `max_bytes`, within `timeout` each.
awaitable<ClientResponse> fetch_on(HttpConnection& connection,
                                   ClientRequest request, Millis timeout,
                                   std::size_t max_bytes = kMaxResponseBytes);

// Sends a request on a new connection and reads the complete response, of at
// most `max_bytes`. Connecting and sending may take up to `timeout` each;
// reading ends `timeout` after the start.
awaitable<ClientResponse> fetch_response(
    asio::io_context& io, HttpTarget target, ClientRequest request,
    Millis timeout, std::size_t max_bytes = kMaxResponseBytes);

// Parses http://ADDRESS:PORT.
Result<HttpTarget> parse_http_url(const std::string& url);

}  // namespace peridotreach
