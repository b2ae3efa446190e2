#pragma once

// Output of one generation on its way to the caller, on the I/O thread.

#include <cstddef>
#include <cstdint>
#include <string>

#include "libperidotreach/entry_effect.h"
#include "runtime/signal.h"

namespace peridotreach {

// The most bytes that wait for a slow caller. A caller further behind is cut
// off and may resume.
inline constexpr std::size_t kMostPendingBytes = 256u << 10u;

// What waits to be written to one caller. `created` and `completed` hold the
// response objects of those events, with the response's id rewritten.
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
