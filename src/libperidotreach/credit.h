#pragma once

// Credits let an entry start requests without asking a dispatcher first.

#include <cstdint>
#include <string>

namespace peridotreach {

// Permission to start `count` requests for `model` on `endpoint` without a
// grant.
struct Credit {
  std::string endpoint;
  std::string model;
  std::uint32_t count = 0;

  bool operator==(const Credit&) const = default;
};

template <class F>
auto inspect(F& f, Credit& x) {
  return f(x.endpoint, x.model, x.count);
}

}  // namespace peridotreach
