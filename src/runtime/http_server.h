#pragma once

// The HTTP/1.1 server of every program, built on Boost.Beast. Each connection
// is served by a coroutine.

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "libperidotreach/error.h"
#include "runtime/asio.h"
#include "runtime/http_types.h"

namespace peridotreach {

// Opens a listening socket on `address`:`port`. `address` is a numeric IP
// address.
Result<tcp::acceptor> listen_on(asio::io_context& io,
                                const std::string& address, std::uint16_t port);

// Returns whether a peer can still receive a response after reading its request
// failed with `reason`. That is so for malformed or oversized requests, but not
// for closed connections, truncated requests and network errors.
bool is_answerable_read_error(error_code reason);

// A request and its response. A handler responds exactly once: either with
// `respond`, or with `start_stream`, any number of `write` calls and
// `finish_stream`.
class HttpExchange {
 public:
  HttpExchange(boost::beast::tcp_stream& stream, HttpRequest request,
               bool keep_alive);

  const HttpRequest& request() const { return request_; }

  // Sends a complete response.
  awaitable<void> respond(HttpResponse response);

  // Sends the status line and headers of a chunked response with status 200.
  // Returns whether the write succeeded.
  awaitable<bool> start_stream(const std::string& content_type,
                               const std::vector<HttpHeader>& headers = {});

  // Sends one chunk; an empty one is skipped. Returns false if this or an
  // earlier write failed.
  awaitable<bool> write(std::string_view chunk);

  // Sends the final chunk of a chunked response.
  awaitable<void> finish_stream();

  // Causes the connection to be closed after this exchange, so that the peer
  // sees an incomplete response.
  void abandon() { failed_ = true; }

  // Returns whether a response was started.
  bool answered() const { return answered_; }

  // Returns whether a write failed or the exchange was abandoned.
  bool failed() const { return failed_; }

 private:
  boost::beast::tcp_stream& stream_;
  HttpRequest request_;
  bool keep_alive_;
  bool answered_ = false;
  bool failed_ = false;
};

// Handles one request.
using HttpHandler = std::function<awaitable<void>(HttpExchange&)>;

// Limits on the size of requests and on connections.
struct HttpLimits {
  std::size_t body_bytes = 4u << 20u;
  std::uint32_t header_bytes = 16u << 10u;
  // Connections at the same time; 0 stands for no limit. Beyond it, the one
  // that was opened first is closed.
  std::size_t connections = 0;
};

// Starts serving on `address`:`port`; port 0 picks a free one. Returns the port
// in use.
Result<std::uint16_t> start_http_server(asio::io_context& io,
                                        const std::string& address,
                                        std::uint16_t port,
                                        const HttpLimits& limits,
                                        HttpHandler handler);

// Returns a JSON response. Callers build responses outside of co_await
// expressions because GCC 12 destroys aggregates that are initialized inside of
// them twice.
HttpResponse json_response(unsigned status, std::string body);

// Returns a plain text response.
HttpResponse text_response(unsigned status, std::string body);

// Returns an error response with the JSON error object of the OpenAI API, which
// its client libraries map to exceptions.
HttpResponse error_response(unsigned status, const std::string& code,
                            const std::string& message,
                            const std::string& remedy);

}  // namespace peridotreach
