#pragma once

// Client-side cache of entry addresses.

#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/time.h"
#include "runtime/http_client.h"

namespace peridotreach {

// Addresses of entry VMs for one caller. When the lifetime of the cached list
// is over, requests a new list from any known address.
class AddressBook {
 public:
  AddressBook(asio::io_context& io, const std::vector<std::string>& seeds,
              std::string api_key);

  // Returns the address at `index` modulo the size of the list, refreshing the
  // list first if it has expired.
  awaitable<HttpTarget> choose(std::uint64_t index);

  // Removes an address that did not answer, until the next refresh.
  void drop(const HttpTarget& target);

 private:
  awaitable<void> refresh();

  asio::io_context& io_;
  std::vector<HttpTarget> seeds_;
  std::string api_key_;
  std::vector<HttpTarget> targets_;
  Millis valid_until_ = 0;
};

}  // namespace peridotreach
