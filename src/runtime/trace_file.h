#pragma once

// Recorded events and effects of one process: the input of replay. A file
// holds a head and then, for each step, the serialized event and effects.

#include <caf/binary_deserializer.hpp>
#include <caf/binary_serializer.hpp>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

#include "libperidotreach/entry_state.h"
#include "libperidotreach/variant_inspect.h"

namespace peridotreach {

// The most bytes that one process records.
inline constexpr std::size_t kMostTraceBytes = 64u << 20u;

// What the process was: "entry" or "dispatch", its identity, and the dispatch
// policy (0 unless baseline).
struct TraceHead {
  std::string reducer;
  EntryIdentity identity;
  std::uint8_t policy = 0;
};

template <class F>
auto inspect(F& f, TraceHead& x) {
  return f(x.reducer, x.identity, x.policy);
}

// Returns `items` in one buffer: the count, then each alternative.
template <class... Ts>
std::vector<char> pack_effects(std::vector<std::variant<Ts...>>& items) {
  std::vector<char> buffer;
  caf::binary_serializer sink(nullptr, buffer);
  auto count = static_cast<std::uint32_t>(items.size());
  if (auto failed = sink(count)) return {};
  for (auto& item : items) {
    if (auto failed = inspect_variant(sink, item)) return {};
  }
  return buffer;
}

// Returns `item` in a buffer.
template <class T>
std::vector<char> pack(T& item) {
  std::vector<char> buffer;
  caf::binary_serializer sink(nullptr, buffer);
  if (auto failed = sink(item)) return {};
  return buffer;
}

// Reads `item` from `buffer`. Returns whether that succeeded.
template <class T>
bool unpack(const std::vector<char>& buffer, T& item) {
  caf::binary_deserializer source(nullptr, buffer);
  const auto failed = source(item);
  return !failed;
}

// Writes records until the bound is reached.
class TraceWriter {
 public:
  // An empty path records nothing.
  explicit TraceWriter(const std::string& path);

  bool is_on() const { return file_.is_open(); }

  // Appends one record.
  void write(const std::vector<char>& record);

 private:
  std::ofstream file_;
  std::size_t written_ = 0;
};

// Reads records in order.
class TraceReader {
 public:
  explicit TraceReader(const std::string& path);

  bool is_open() const { return file_.is_open(); }

  // Reads the next record. Returns false at the end or at a cut record.
  bool read(std::vector<char>& record);

 private:
  std::ifstream file_;
};

}  // namespace peridotreach
