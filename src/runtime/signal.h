#pragma once

// A notification between coroutines of one I/O thread.

#include "libperidotreach/time.h"
#include "runtime/asio.h"

namespace peridotreach {

// Wakes its waiter on notification or after a timeout. Not thread-safe; must
// only be used on the I/O thread.
class Signal {
 public:
  explicit Signal(asio::io_context& io);

  // Wakes the waiter. If nothing waits, the next wait returns at once.
  void notify();

  // Waits for a notification for up to `timeout`. Returns whether there was
  // one.
  awaitable<bool> wait(Millis timeout);

 private:
  asio::steady_timer timer_;
  bool notified_ = false;
};

}  // namespace peridotreach
