#pragma once

// The HTTP client: one connection a request, with a bound on each step.

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libperidotreach/error.h"
#include "libperidotreach/time.h"
#include "runtime/asio.h"
#include "runtime/http_types.h"

namespace peridotreach {

// Where a server listens.
struct HttpTarget {
  std::string address;
  std::uint16_t port = 0;

  bool operator==(const HttpTarget&) const = default;
};

// Returns ADDRESS:PORT.
std::string place_of(const HttpTarget& target);

// Parses ADDRESS:PORT.
Result<HttpTarget> parse_place(const std::string& text);

// What a client sends; `target` is path and query. An empty `host` means the
// server's address, an empty `content_type` leaves the field out.
struct ClientRequest {
  std::string method = "GET";
  std::string target = "/";
  std::string host;
  std::vector<HttpHeader> headers;
  std::string content_type = "application/json";
  std::string body;
};

// One connection. `sent` tells whether any byte of a request has left.
class HttpConnection {
 public:
  explicit HttpConnection(asio::io_context& io);

  // Connects within `timeout`. Returns whether that succeeded.
  awaitable<bool> connect(HttpTarget target, Millis timeout);

  // Sends a request. Returns whether all of it left.
  awaitable<bool> send(ClientRequest request, Millis timeout);

  // Reads the head of the answer. Returns the status, 0 on failure.
  awaitable<unsigned> read_head(Millis timeout);

  // Reads more of the body within `timeout`. An empty text means the end, a
  // failure or that time is up; see `ended`.
  awaitable<std::string> read_some(Millis timeout);

  // Returns a header of the answer.
  std::string header(const std::string& name) const;

  // Returns all headers of the answer in their order.
  std::vector<HttpHeader> headers() const;

  bool sent() const { return sent_; }

  // Whether the whole answer was read.
  bool ended() const { return ended_; }

  // Closes the connection; pending operations end.
  void close();

 private:
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      parser_;
  std::string host_;
  bool sent_ = false;
  bool ended_ = false;
};

// How a whole exchange went. `answered` is false if no whole answer came.
struct ClientAnswer {
  bool answered = false;
  bool sent = false;
  unsigned status = 0;
  std::string content_type;
  // The header peridot-ran, with which entry VMs say whether a call ran.
  std::string ran;
  Millis retry_after = 0;
  std::string body;
};

// Sends a request and reads the whole answer within `timeout`.
awaitable<ClientAnswer> exchange(asio::io_context& io, HttpTarget target,
                                 ClientRequest request, Millis timeout);

// Parses http://ADDRESS:PORT.
Result<HttpTarget> parse_url(const std::string& url);

}  // namespace peridotreach
