#pragma once

// A connection from a caller: reads requests, passes each to the router node
// and writes the responses.

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "libperidotreach/time.h"
#include "peridot-router/request_exchange.h"
#include "runtime/arriving_body.h"
#include "runtime/asio.h"

namespace peridotreach {

class RouterNode;

// Memory that a request takes beside its header and body while it is read, in
// bytes at most.
inline constexpr std::size_t kMaxRequestOverheadBytes = 256U << 10U;

// A session on one caller connection. The coroutine that runs it owns it; the
// node holds a weak reference to close it when the process stops.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  // Sessions are numbered in the order in which they were accepted.
  CallerSession(tcp::socket socket, std::uint64_t number, RouterNode& node);

  std::uint64_t number() const { return number_; }

  // Returns the caller's address and port.
  std::string caller_address() const;

  // Serves requests until the connection ends.
  awaitable<void> run();

  // Closes the connection if no request is being read or served.
  void close_if_idle();

  // Closes the connection whatever it is doing.
  void close();
  bool closing() const { return caller_disconnected_; }

  // Refuses the request that is being read, as others need its memory.
  void end_reading();

  // Returns the time at which the caller last sent something of a request that
  // has not arrived whole, or was last answered; none while a request is
  // served.
  std::optional<Millis> awaited_since() const { return awaited_since_; }

  // Returns whether a part of a request has arrived that is not answered yet.
  bool has_open_request();

  // Returns whether a request has arrived that is not being read yet.
  bool has_next_request();

  // Returns whether a request of this connection has been answered.
  bool has_served() const { return has_served_; }

 private:
  using Parser = boost::beast::http::request_parser<ArrivingBody>;

  // Each returns whether the connection can still be used.
  awaitable<bool> wait_for_request();
  awaitable<bool> read_request(Parser& parser, RawRequest& request);
  // Reads until the header is complete, or if it is, until the whole message
  // is.
  awaitable<error_code> read_part(Parser& parser, Millis timeout);
  // Obtains the memory to read `bytes` more, and waits for it while others hold
  // it. Returns whether it may be read.
  awaitable<bool> obtain_memory(Parser& parser, std::size_t bytes);
  // Answers a request for which there is no memory.
  awaitable<void> refuse_for_memory(Parser& parser, const RawRequest& request);
  // Reads and drops what the caller still sends, as closing a connection with
  // unread bytes may destroy the answer.
  awaitable<void> discard_input();
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
  std::uint64_t number_;
  RouterNode& node_;
  std::optional<Millis> awaited_since_;
  // Others were given the memory of the request that is being read.
  bool reading_ended_ = false;
  bool idle_ = false;
  // Whether a request of this connection has been answered.
  bool has_served_ = false;
  bool caller_disconnected_ = false;
};

}  // namespace peridotreach
