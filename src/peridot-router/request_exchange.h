#pragma once

// The state of one request in the router that the caller's connection and the
// endpoint's connection share.

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "libperidotreach/time.h"
#include "peridot-router/wire_format.h"
#include "runtime/asio.h"

namespace peridotreach {

// A complete response, or the head of a stream.
struct CallerResponse {
  unsigned status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
};

// Maximum number of bytes buffered for a slow caller. Beyond it, the router
// stops reading from the endpoint. Streams of text are seldom longer, so that a
// slow caller does not make an endpoint wait.
inline constexpr std::size_t kMaxBufferedBytes = 1U << 20U;

// Bytes of a stream that are written to a caller at once.
inline constexpr std::size_t kMaxWrittenBytes = 64U << 10U;

// The request/response exchange of one request. The endpoint's side stores what
// it receives; the caller's side waits for that and writes it to the caller.
class RequestExchange {
 public:
  RequestExchange(asio::io_context& io, std::uint64_t request_number,
                  std::uint64_t session_number, RawRequest request)
      : request_number_(request_number),
        session_number_(session_number),
        request_(std::move(request)),
        changed_(io),
        drained_(io) {}

  std::uint64_t request_number() const { return request_number_; }
  // Number of the session on the caller's connection.
  std::uint64_t session_number() const { return session_number_; }
  const RawRequest& request() const { return request_; }
  // Frees the request's body, which is not needed any more. While it is being
  // sent, it is kept until that ends.
  void release_body();
  void begin_sending() { ++sending_; }
  void end_sending();
  // Called when the body was freed.
  void set_on_body_released(std::function<void()> on_body_released) {
    on_body_released_ = std::move(on_body_released);
  }
  // Request id that the caller sent; empty if there is none.
  const std::string& id() const { return id_; }
  void set_id(std::string id) { id_ = std::move(id); }

  // Ends the exchange with a complete response.
  void set_response(CallerResponse response);

  // Starts to relay a stream with this head. Ignores later heads.
  void open_stream(CallerResponse head);

  // Appends bytes to the stream.
  void append_stream(std::string_view bytes);

  // Marks the stream as complete.
  void finish_stream();

  // Closes the caller's connection in the middle of the response.
  void abort();

  // Lets an abort free what the caller has not been sent.
  void drop_bytes_on_abort() { drops_bytes_on_abort_ = true; }

  // Waits until one of the functions above has been called.
  awaitable<void> wait_for_change();

  // Waits while more than kMaxBufferedBytes are buffered for the caller.
  // Returns false if the caller takes none of them for `patience`.
  awaitable<bool> wait_for_drain(Millis patience);

  // Return and remove what has been stored since the last call.
  std::optional<CallerResponse> take_response();
  std::optional<CallerResponse> take_head();
  // At most kMaxWrittenBytes.
  std::string take_bytes();

  // Returns whether some of the stream has not been taken yet.
  bool has_more_bytes() const { return !buffered_bytes_.empty(); }

  // Memory of the part of the stream that the caller has not been sent yet.
  std::size_t buffered_bytes() const {
    return buffered_bytes_.capacity() + written_bytes_;
  }

  bool finished() const { return finished_; }
  bool aborted() const { return aborted_; }
  bool closed() const { return closed_; }
  // Marks the exchange as over and wakes both sides.
  void close();

 private:
  void notify();

  std::uint64_t request_number_;
  std::uint64_t session_number_;
  RawRequest request_;
  std::string id_;
  asio::steady_timer changed_;
  asio::steady_timer drained_;
  std::optional<CallerResponse> response_;
  std::optional<CallerResponse> head_;
  std::string buffered_bytes_;
  // Bytes that were taken last, and are being written.
  std::size_t written_bytes_ = 0;
  int sending_ = 0;
  bool body_released_ = false;
  std::function<void()> on_body_released_;
  bool stream_opened_ = false;
  bool finished_ = false;
  bool aborted_ = false;
  bool drops_bytes_on_abort_ = false;
  bool closed_ = false;
};

}  // namespace peridotreach
