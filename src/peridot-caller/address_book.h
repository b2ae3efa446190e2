#pragma once

// The addresses that a caller keeps for their lifetime.

#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/time.h"
#include "runtime/http_client.h"

namespace peridotreach {

// Addresses of one caller. Asks any known one for a new answer when the old
// one's lifetime is over.
class AddressBook {
 public:
  AddressBook(asio::io_context& io, const std::vector<std::string>& seeds,
              std::string key);

  // Returns an address; `turn` spreads requests over the list.
  awaitable<HttpTarget> choose(std::uint64_t turn);

  // Forgets an address that did not answer, until the next answer.
  void drop(const HttpTarget& target);

 private:
  awaitable<void> refresh();

  asio::io_context& io_;
  std::vector<HttpTarget> seeds_;
  std::string key_;
  std::vector<HttpTarget> targets_;
  Millis valid_until_ = 0;
};

}  // namespace peridotreach
