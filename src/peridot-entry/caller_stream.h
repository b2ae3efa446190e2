#pragma once

// Buffered output of one generation for its caller. Used on the I/O thread
// only.

#include <cstddef>
#include <cstdint>
#include <string>

#include "libperidotreach/entry_effect.h"
#include "runtime/signal.h"

namespace peridotreach {

// Most bytes buffered for a slow caller. Beyond this, the connection is closed
// and the caller may resume the stream.
inline constexpr std::size_t kMaxPendingBytes = 256u << 10u;

// Output that has not been written to one caller yet. `created` and `completed`
// hold the response objects of the events of those names, with the engine's
// generation id replaced by the public response id.
struct CallerStream {
  explicit CallerStream(asio::io_context& io) : signal(io) {}

  std::uint64_t request = 0;
  std::string caller;
  std::string rank;
  std::string service;
  std::string engine_body;
  bool wants_stream = false;
  bool detached = false;
  bool overrun = false;
  bool finished = false;
  std::string pending;
  std::string created;
  std::string completed;
  std::int64_t next_sequence = 0;
  FinishRequest outcome;
  Signal signal;
};

}  // namespace peridotreach
