#pragma once

// A connection from a caller: reads requests, passes each to the router node
// and writes the responses.

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>

#include "peridot-router/request_exchange.h"
#include "runtime/asio.h"

namespace peridotreach {

class RouterNode;

// A session on one caller connection. The coroutine that runs it owns it; the
// node holds a weak reference to close it when the process stops.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(tcp::socket socket, RouterNode& node);

  // Serves requests until the connection ends.
  awaitable<void> run();

  // Closes the connection if no request is being read or served.
  void close_if_idle();

  // Returns whether a part of a request has arrived that is not answered yet.
  bool has_open_request();

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  // Each returns whether the connection can still be used.
  awaitable<bool> wait_for_request();
  awaitable<bool> read_request(Parser& parser);
  awaitable<bool> serve(const std::shared_ptr<RequestExchange>& exchange,
                        bool keep_alive);
  // Takes the body out of `response`.
  awaitable<bool> write_response(CallerResponse& response, bool keep_alive,
                                 bool is_head);
  awaitable<bool> write_response_head(const CallerResponse& head,
                                      bool keep_alive);
  awaitable<bool> write_chunk(std::string bytes, bool last);
  awaitable<bool> relay_stream(RequestExchange& exchange);
  // Answers a request that could not be parsed.
  awaitable<void> reject_unreadable(unsigned status);
  // Ends the exchange if the caller closes the connection meanwhile.
  void watch_for_disconnect(const std::shared_ptr<RequestExchange>& exchange);

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  RouterNode& node_;
  bool idle_ = false;
  // Whether a request of this connection has been answered.
  bool has_served_ = false;
  bool caller_disconnected_ = false;
};

}  // namespace peridotreach
