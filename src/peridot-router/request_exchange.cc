#include "peridot-router/request_exchange.h"

#include <utility>

#include "runtime/clock.h"

namespace peridotreach {
void RequestExchange::notify() { changed_.cancel(); }

void RequestExchange::set_response(CallerResponse response) {
  response_ = std::move(response);
  notify();
}

void RequestExchange::open_stream(CallerResponse head) {
  if (stream_opened_) return;
  stream_opened_ = true;
  head_ = std::move(head);
  notify();
}

void RequestExchange::append_stream(std::string_view bytes) {
  buffered_bytes_.append(bytes);
  notify();
}

void RequestExchange::finish_stream() {
  finished_ = true;
  notify();
}

void RequestExchange::abort() {
  aborted_ = true;
  notify();
}

awaitable<void> RequestExchange::wait_for_change() {
  const bool ready =
      response_ || head_ || !buffered_bytes_.empty() || finished_ || aborted_;
  if (!ready) co_await wait_until_cancelled(changed_);
}

awaitable<void> RequestExchange::wait_for_drain() {
  while (buffered_bytes_.size() > kMaxBufferedBytes && !closed_) {
    co_await wait_until_cancelled(drained_);
  }
}

std::optional<CallerResponse> RequestExchange::take_response() {
  return std::exchange(response_, std::nullopt);
}

std::optional<CallerResponse> RequestExchange::take_head() {
  return std::exchange(head_, std::nullopt);
}

std::string RequestExchange::take_bytes() {
  std::string taken = std::exchange(buffered_bytes_, std::string());
  drained_.cancel();
  return taken;
}

void RequestExchange::close() {
  closed_ = true;
  drained_.cancel();
  changed_.cancel();
}

}  // namespace peridotreach
