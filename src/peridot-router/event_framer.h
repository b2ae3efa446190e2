#pragma once

// Splits the bytes of an event stream at the ends of events and reads their
// ids, leaving the bytes as they are.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridotreach {

// One event with the bytes that make it up. `id` is -1 if it has none.
struct FramedEvent {
  std::string bytes;
  std::int64_t id = -1;

  bool operator==(const FramedEvent&) const = default;
};

// Cuts a stream into whole events.
class EventFramer {
 public:
  // Adds bytes and returns the events that they complete.
  std::vector<FramedEvent> feed(std::string_view bytes);

  // Whether bytes of an unfinished event are held.
  bool has_partial_event() const { return !buffer_.empty(); }

 private:
  std::string buffer_;
  std::size_t search_start_ = 0;
};

}  // namespace peridotreach
