#include "peridot-router/request_exchange.h"

#include <chrono>
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
  if (drops_bytes_on_abort_) buffered_bytes_ = std::string();
  notify();
}

awaitable<void> RequestExchange::wait_for_change() {
  const bool ready =
      response_ || head_ || !buffered_bytes_.empty() || finished_ || aborted_;
  if (!ready) co_await wait_until_cancelled(changed_);
}

awaitable<bool> RequestExchange::wait_for_drain(Millis patience) {
  while (buffered_bytes_.size() > kMaxBufferedBytes && !closed_) {
    drained_.expires_after(std::chrono::milliseconds(patience));
    error_code cancelled;
    co_await drained_.async_wait(
        asio::redirect_error(asio::use_awaitable, cancelled));
    if (!cancelled) co_return false;
  }
  co_return true;
}

void RequestExchange::release_body() {
  body_released_ = true;
  if (sending_ > 0) return;
  request_.body = std::string();
  if (on_body_released_) std::exchange(on_body_released_, nullptr)();
}

void RequestExchange::end_sending() {
  --sending_;
  if (body_released_) release_body();
}

std::optional<CallerResponse> RequestExchange::take_response() {
  return std::exchange(response_, std::nullopt);
}

std::optional<CallerResponse> RequestExchange::take_head() {
  return std::exchange(head_, std::nullopt);
}

std::string RequestExchange::take_bytes() {
  std::string taken;
  if (buffered_bytes_.size() <= kMaxWrittenBytes) {
    taken = std::exchange(buffered_bytes_, std::string());
  } else {
    taken = buffered_bytes_.substr(0, kMaxWrittenBytes);
    buffered_bytes_.erase(0, kMaxWrittenBytes);
  }
  written_bytes_ = taken.size();
  drained_.cancel();
  return taken;
}

void RequestExchange::close() {
  closed_ = true;
  on_body_released_ = nullptr;
  drained_.cancel();
  changed_.cancel();
}

}  // namespace peridotreach
