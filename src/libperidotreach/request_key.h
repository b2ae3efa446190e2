#pragma once

// Identifies a request in messages between entries and dispatchers.

#include <compare>
#include <cstdint>
#include <string>

namespace peridotreach {

// The number of a request and the entry process incarnation that assigned it.
struct RequestKey {
  std::string vm;
  std::uint64_t incarnation = 0;
  std::uint64_t request = 0;

  auto operator<=>(const RequestKey&) const = default;
};

template <class F>
auto inspect(F& f, RequestKey& x) {
  return f(x.vm, x.incarnation, x.request);
}

}  // namespace peridotreach
