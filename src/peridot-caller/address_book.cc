#include "peridot-caller/address_book.h"

#include <algorithm>
#include <utility>

#include "runtime/clock.h"
#include "runtime/json.h"

namespace peridotreach {
namespace {

constexpr Millis kRequestTimeout = 2 * kSecond;
constexpr unsigned kHttpOk = 200;

}  // namespace

AddressBook::AddressBook(asio::io_context& io,
                         const std::vector<std::string>& seeds,
                         std::string api_key)
    : io_(io), api_key_(std::move(api_key)) {
  for (const std::string& seed : seeds) {
    const Result<HttpTarget> target = parse_http_url(seed);
    if (ok(target)) seeds_.push_back(value(target));
  }
}

awaitable<void> AddressBook::refresh() {
  std::vector<HttpTarget> candidates = targets_;
  candidates.insert(candidates.end(), seeds_.begin(), seeds_.end());
  for (const HttpTarget& target : candidates) {
    ClientRequest request;
    request.target = "/v1/addresses";
    request.headers.push_back({"authorization", "Bearer " + api_key_});
    const ClientResponse answer = co_await fetch_response(
        io_, target, std::move(request), kRequestTimeout);
    const Result<json::object> parsed = parse_object(answer.body);
    if (!answer.complete || answer.status != kHttpOk || !ok(parsed)) continue;
    std::vector<HttpTarget> new_targets;
    for (const json::value& item : array_member(value(parsed), "addresses")) {
      const auto url = parse_http_url(string_member(item.as_object(), "url"));
      if (ok(url)) new_targets.push_back(value(url));
    }
    if (new_targets.empty()) continue;
    targets_ = std::move(new_targets);
    valid_until_ = monotonic_now() + int_member(value(parsed), "lifetime_ms");
    co_return;
  }
}

awaitable<HttpTarget> AddressBook::choose(std::uint64_t index) {
  if (targets_.empty() || monotonic_now() >= valid_until_) {
    // Concurrent requests keep using the old list during the refresh.
    valid_until_ = monotonic_now() + kSecond;
    co_await refresh();
  }
  const auto& from = targets_.empty() ? seeds_ : targets_;
  co_return from[index % from.size()];
}

void AddressBook::drop(const HttpTarget& target) {
  std::erase(targets_, target);
}

}  // namespace peridotreach
