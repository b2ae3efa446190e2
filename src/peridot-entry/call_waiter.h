#pragma once

// A plain call that waits for its answer, on the I/O thread.

#include <string>

#include "libperidotreach/session_table.h"
#include "runtime/http_types.h"
#include "runtime/signal.h"

namespace peridotreach {

// The call as the caller sent it and, once `done`, its outcome.
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
