#pragma once

// State of a call to a plain service that is waiting for its response. Used on
// the I/O thread only.

#include <string>

#include "libperidotreach/session_table.h"
#include "runtime/http_types.h"
#include "runtime/signal.h"

namespace peridotreach {

// The request as the caller sent it and, once `done` is set, its outcome.
struct CallWaiter {
  explicit CallWaiter(asio::io_context& io) : signal(io) {}

  HttpRequest request;
  std::string path;
  bool done = false;
  CallOutcome outcome;
  Millis retry_after = 0;
  Signal signal;
};

}  // namespace peridotreach
