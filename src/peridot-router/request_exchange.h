#pragma once

// One caller's request on its way through the router: what its two sides, the
// caller's connection and the endpoint's, hand to each other.

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "peridot-router/wire_format.h"
#include "runtime/asio.h"

namespace peridotreach {

// A whole answer, or the head of a stream.
struct CallerResponse {
  unsigned status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
};

// Bytes of a stream that may wait for a slow caller before the endpoint's
// side stops reading.
inline constexpr std::size_t kMaxBufferedBytes = 256U << 10U;

// The exchange of one request. The caller's side waits for `changed`; the
// endpoint's side fills in what has come.
class RequestExchange {
 public:
  RequestExchange(asio::io_context& io, std::uint64_t key, RawRequest request)
      : request_number_(key),
        request_(std::move(request)),
        changed_(io),
        drained_(io) {}

  std::uint64_t request_number() const { return request_number_; }
  const RawRequest& request() const { return request_; }
  const std::string& id() const { return id_; }
  void set_id(std::string id) { id_ = std::move(id); }

  // Ends the exchange with a whole answer.
  void set_response(CallerResponse answer);

  // Starts to relay a stream with this head; later heads are ignored.
  void open_stream(CallerResponse head);

  // Adds bytes of the stream.
  void append_stream(std::string_view bytes);

  // Ends the stream as complete.
  void finish_stream();

  // Ends the caller's connection in mid answer.
  void abort();

  // Waits until something of the above has happened.
  awaitable<void> wait_for_change();

  // Waits while too many bytes wait for the caller.
  awaitable<void> wait_for_drain();

  // Takes what is there; each is given once.
  std::optional<CallerResponse> take_response();
  std::optional<CallerResponse> take_head();
  std::string take_bytes();

  bool finished() const { return finished_; }
  bool aborted() const { return aborted_; }
  bool closed() const { return closed_; }
  void close();

 private:
  void notify();

  std::uint64_t request_number_;
  RawRequest request_;
  std::string id_;
  asio::steady_timer changed_;
  asio::steady_timer drained_;
  std::optional<CallerResponse> response_;
  std::optional<CallerResponse> head_;
  std::string buffered_bytes_;
  bool stream_opened_ = false;
  bool finished_ = false;
  bool aborted_ = false;
  bool closed_ = false;
};

}  // namespace peridotreach
