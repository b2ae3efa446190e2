#include "peridot-caller/address_book.h"

#include <algorithm>
#include <utility>

#include "runtime/clock.h"
#include "runtime/json.h"

namespace peridotreach {
namespace {

constexpr Millis kAskTimeout = 2 * kSecond;
constexpr unsigned kHttpOk = 200;

}  // namespace

AddressBook::AddressBook(asio::io_context& io,
                         const std::vector<std::string>& seeds, std::string key)
    : io_(io), key_(std::move(key)) {
  for (const std::string& seed : seeds) {
    const Result<HttpTarget> target = parse_http_url(seed);
    if (ok(target)) seeds_.push_back(value(target));
  }
}

awaitable<void> AddressBook::refresh() {
  std::vector<HttpTarget> asked = targets_;
  asked.insert(asked.end(), seeds_.begin(), seeds_.end());
  for (const HttpTarget& target : asked) {
    ClientRequest request;
    request.target = "/v1/addresses";
    request.headers.push_back({"authorization", "Bearer " + key_});
    const ClientResponse answer =
        co_await fetch_response(io_, target, std::move(request), kAskTimeout);
    const Result<json::object> parsed = parse_object(answer.body);
    if (!answer.complete || answer.status != kHttpOk || !ok(parsed)) continue;
    std::vector<HttpTarget> fresh;
    for (const json::value& item : array_member(value(parsed), "addresses")) {
      const auto url = parse_http_url(string_member(item.as_object(), "url"));
      if (ok(url)) fresh.push_back(value(url));
    }
    if (fresh.empty()) continue;
    targets_ = std::move(fresh);
    valid_until_ = monotonic_now() + int_member(value(parsed), "lifetime_ms");
    co_return;
  }
}

awaitable<HttpTarget> AddressBook::choose(std::uint64_t turn) {
  if (targets_.empty() || monotonic_now() >= valid_until_) {
    // Others keep using the old answer while this one asks.
    valid_until_ = monotonic_now() + kSecond;
    co_await refresh();
  }
  const auto& from = targets_.empty() ? seeds_ : targets_;
  co_return from[turn % from.size()];
}

void AddressBook::drop(const HttpTarget& target) {
  std::erase(targets_, target);
}

}  // namespace peridotreach
