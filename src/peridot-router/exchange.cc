#include "peridot-router/exchange.h"

#include <utility>

#include "runtime/clock.h"

namespace peridotreach {
void Exchange::notify() { changed_.cancel(); }

void Exchange::answer(CallerAnswer answer) {
  answer_ = std::move(answer);
  notify();
}

void Exchange::open_stream(CallerAnswer head) {
  if (opened_) return;
  opened_ = true;
  head_ = std::move(head);
  notify();
}

void Exchange::relay(std::string_view bytes) {
  bytes_.append(bytes);
  notify();
}

void Exchange::finish() {
  finished_ = true;
  notify();
}

void Exchange::break_off() {
  broken_ = true;
  notify();
}

awaitable<void> Exchange::wait_changed() {
  const bool ready =
      answer_ || head_ || !bytes_.empty() || finished_ || broken_;
  if (!ready) co_await wait_cancelled(changed_);
}

awaitable<void> Exchange::wait_drained() {
  while (bytes_.size() > kMostWaitingBytes && !over_) {
    co_await wait_cancelled(drained_);
  }
}

std::optional<CallerAnswer> Exchange::take_answer() {
  return std::exchange(answer_, std::nullopt);
}

std::optional<CallerAnswer> Exchange::take_head() {
  return std::exchange(head_, std::nullopt);
}

std::string Exchange::take_bytes() {
  std::string taken = std::exchange(bytes_, std::string());
  drained_.cancel();
  return taken;
}

void Exchange::set_over() {
  over_ = true;
  drained_.cancel();
  changed_.cancel();
}

}  // namespace peridotreach
