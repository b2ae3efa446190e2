#include "runtime/signal.h"

#include <chrono>

namespace peridotreach {

Signal::Signal(asio::io_context& io) : timer_(io) {}

void Signal::notify() {
  notified_ = true;
  timer_.cancel();
}

awaitable<bool> Signal::wait(Millis timeout) {
  if (!notified_) {
    timer_.expires_after(std::chrono::milliseconds(timeout));
    error_code ignored;
    co_await timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  const bool was_notified = notified_;
  notified_ = false;
  co_return was_notified;
}

}  // namespace peridotreach
