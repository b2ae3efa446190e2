#pragma once

// Trace files: recorded events and effects of one process, the input of replay.
// A file holds a header record and then, for each step, one record with the
// event and one with its effects. Each record is preceded by its length in 4
// bytes, little-endian.

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

// Size limit of a trace file. Records that would exceed it are not written.
inline constexpr std::size_t kMaxTraceBytes = 64u << 20u;

// Describes the recorded process: its reducer ("entry" or "dispatch"), its
// identity and the dispatch policy (0 unless baseline).
struct TraceHeader {
  std::string reducer;
  EntryIdentity identity;
  std::uint8_t policy = 0;
};

template <class F>
auto inspect(F& f, TraceHeader& x) {
  return f(x.reducer, x.identity, x.policy);
}

// Serializes `items`: the count, then each variant.
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

// Serializes `item`. Returns an empty buffer on failure.
template <class T>
std::vector<char> pack(T& item) {
  std::vector<char> buffer;
  caf::binary_serializer sink(nullptr, buffer);
  if (auto failed = sink(item)) return {};
  return buffer;
}

// Deserializes `item` from `buffer`. Returns whether that succeeded.
template <class T>
bool unpack(const std::vector<char>& buffer, T& item) {
  caf::binary_deserializer source(nullptr, buffer);
  const auto failed = source(item);
  return !failed;
}

// Writes records until the file reaches its size limit.
class TraceWriter {
 public:
  // Opens and truncates the file at `path`. With an empty path nothing is
  // recorded.
  explicit TraceWriter(const std::string& path);

  bool is_open() const { return file_.is_open(); }

  // Appends one record, unless it would exceed the size limit.
  void write(const std::vector<char>& record);

 private:
  std::ofstream file_;
  std::size_t written_ = 0;
};

// Reads the records of a trace file in order.
class TraceReader {
 public:
  explicit TraceReader(const std::string& path);

  bool is_open() const { return file_.is_open(); }

  // Reads the next record. Returns false at the end of the file and if the
  // record is truncated.
  bool read(std::vector<char>& record);

 private:
  std::ifstream file_;
};

}  // namespace peridotreach
