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
struct CallerAnswer {
  unsigned status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
};

// Bytes of a stream that may wait for a slow caller before the endpoint's
// side stops reading.
inline constexpr std::size_t kMostWaitingBytes = 256U << 10U;

// The exchange of one request. The caller's side waits for `changed`; the
// endpoint's side fills in what has come.
class Exchange {
 public:
  Exchange(asio::io_context& io, std::uint64_t key, RawRequest request)
      : key_(key), request_(std::move(request)), changed_(io), drained_(io) {}

  std::uint64_t key() const { return key_; }
  const RawRequest& request() const { return request_; }
  const std::string& id() const { return id_; }
  void set_id(std::string id) { id_ = std::move(id); }

  // Ends the exchange with a whole answer.
  void answer(CallerAnswer answer);

  // Starts to relay a stream with this head; later heads are ignored.
  void open_stream(CallerAnswer head);

  // Adds bytes of the stream.
  void relay(std::string_view bytes);

  // Ends the stream as complete.
  void finish();

  // Ends the caller's connection in mid answer.
  void break_off();

  // Waits until something of the above has happened.
  awaitable<void> wait_changed();

  // Waits while too many bytes wait for the caller.
  awaitable<void> wait_drained();

  // Takes what is there; each is given once.
  std::optional<CallerAnswer> take_answer();
  std::optional<CallerAnswer> take_head();
  std::string take_bytes();

  bool finished() const { return finished_; }
  bool broken() const { return broken_; }
  bool over() const { return over_; }
  void set_over();

 private:
  void notify();

  std::uint64_t key_;
  RawRequest request_;
  std::string id_;
  asio::steady_timer changed_;
  asio::steady_timer drained_;
  std::optional<CallerAnswer> answer_;
  std::optional<CallerAnswer> head_;
  std::string bytes_;
  bool opened_ = false;
  bool finished_ = false;
  bool broken_ = false;
  bool over_ = false;
};

}  // namespace peridotreach
