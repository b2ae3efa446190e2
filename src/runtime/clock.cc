#include "runtime/clock.h"

#include <sodium.h>

#include <chrono>
#include <ctime>

namespace peridotreach {

Millis monotonic_now() {
  // CLOCK_MONOTONIC stops while the VM is suspended, but deadlines and leases
  // keep expiring and information about peers keeps aging. CLOCK_BOOTTIME
  // includes the suspended time.
  timespec now = {};
  clock_gettime(CLOCK_BOOTTIME, &now);
  constexpr Millis kNanosPerMilli = 1'000'000;
  return now.tv_sec * kSecond + now.tv_nsec / kNanosPerMilli;
}

std::uint64_t wall_now_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::uint64_t wall_minute() {
  return wall_now_ms() / static_cast<std::uint64_t>(kMinute);
}

std::uint64_t random_number() {
  std::uint64_t number = 0;
  randombytes_buf(&number, sizeof number);
  return number;
}

awaitable<void> wait_until_cancelled(asio::steady_timer& timer) {
  timer.expires_at(asio::steady_timer::time_point::max());
  error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

awaitable<void> sleep_for(Millis duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(std::chrono::milliseconds(duration));
  error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace peridotreach
