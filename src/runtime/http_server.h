#pragma once

// The HTTP server of every program: coroutines over Boost.Beast.

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

// Listens on ADDRESS:PORT.
Result<tcp::acceptor> listen_on(asio::io_context& io,
                                const std::string& address, std::uint16_t port);

// Returns whether the peer of a request that could not be read for `reason` is
// still there for an answer.
bool worth_answering(error_code reason);

// One request and the means to answer it. Handlers answer exactly once,
// either with `respond` or with `start_stream`, writes and `finish_stream`.
class HttpExchange {
 public:
  HttpExchange(boost::beast::tcp_stream& stream, HttpRequest request,
               bool keep_alive);

  const HttpRequest& request() const { return request_; }

  // Sends a whole response.
  awaitable<void> respond(HttpResponse response);

  // Sends the head of a chunked response. Returns whether the peer is there.
  awaitable<bool> start_stream(const std::string& content_type,
                               const std::vector<HttpHeader>& headers = {});

  // Sends one chunk. Returns whether the peer is there.
  awaitable<bool> write(std::string_view chunk);

  // Ends a chunked response.
  awaitable<void> finish_stream();

  // Ends the connection after this exchange without completing the answer.
  void abandon() { failed_ = true; }

  bool answered() const { return answered_; }
  bool failed() const { return failed_; }

 private:
  boost::beast::tcp_stream& stream_;
  HttpRequest request_;
  bool keep_alive_;
  bool answered_ = false;
  bool failed_ = false;
};

using HttpHandler = std::function<awaitable<void>(HttpExchange&)>;

// Limits on what callers may send.
struct HttpLimits {
  std::size_t body_bytes = 4u << 20u;
  std::uint32_t header_bytes = 16u << 10u;
};

// Starts serving on `address`:`port` (0 picks a free one). Returns the port.
Result<std::uint16_t> start_http_server(asio::io_context& io,
                                        const std::string& address,
                                        std::uint16_t port,
                                        const HttpLimits& limits,
                                        HttpHandler handler);

// Returns a JSON response. Responses are built outside of co_await
// expressions: GCC 12 destroys aggregates written inside of them twice.
HttpResponse json_response(unsigned status, std::string body);

// Returns a plain text response.
HttpResponse text_response(unsigned status, std::string body);

// Returns an error as a response, in the form that OpenAI clients map.
HttpResponse error_response(unsigned status, const std::string& code,
                            const std::string& message,
                            const std::string& remedy);

}  // namespace peridotreach
