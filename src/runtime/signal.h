#pragma once

// A condition that coroutines of one I/O thread wait for.

#include "libperidotreach/time.h"
#include "runtime/asio.h"

namespace peridotreach {

// Wakes its waiter when notified or when time is up. Not thread-safe; all
// use is on the I/O thread.
class Signal {
 public:
  explicit Signal(asio::io_context& io);

  // Wakes the waiter, or lets the next wait return at once.
  void notify();

  // Completes when notified or after `timeout`. Returns whether notified.
  awaitable<bool> wait(Millis timeout);

 private:
  asio::steady_timer timer_;
  bool notified_ = false;
};

}  // namespace peridotreach
