#pragma once

// Identity of a request between entries and dispatchers.

#include <compare>
#include <cstdint>
#include <string>

namespace peridotreach {

// A request of one entry process incarnation.
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
