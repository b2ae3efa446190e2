#pragma once

// Serializes std::variant with CAF inspectors as the index of the alternative
// followed by its value.

#include <cstddef>
#include <cstdint>
#include <utility>
#include <variant>

namespace peridotreach {

// Sets `target` to a default-constructed alternative `index`. An out-of-range
// index leaves `target` unchanged.
template <class... Ts>
void emplace_alternative(std::variant<Ts...>& target, std::size_t index) {
  std::size_t i = 0;
  ((i++ == index ? void(target.template emplace<Ts>()) : void()), ...);
}

// Writes the alternative that `target` holds, or reads one into it when `f` is
// a deserializing inspector.
template <class F, class... Ts>
auto inspect_variant(F& f, std::variant<Ts...>& target) {
  auto index = static_cast<std::uint8_t>(target.index());
  if constexpr (!F::reads_state) {
    if (auto problem = f(index)) return problem;
    emplace_alternative(target, index);
    return std::visit([&](auto& x) { return f(x); }, target);
  } else {
    return std::visit([&](auto& x) { return f(index, x); }, target);
  }
}

}  // namespace peridotreach
