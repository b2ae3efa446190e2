#pragma once

// Splits a server-sent event stream into events and reads their ids. The bytes
// are passed on unchanged.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridotreach {

// One event with its bytes, including the blank line at its end. `id` is -1 if
// the event has none.
struct FramedEvent {
  std::string bytes;
  std::int64_t id = -1;

  bool operator==(const FramedEvent&) const = default;
};

// Splits a stream into complete events.
class EventFramer {
 public:
  // Appends bytes and returns the events that they complete.
  std::vector<FramedEvent> feed(std::string_view bytes);

  // Returns whether bytes of an incomplete event are buffered.
  bool has_partial_event() const { return !buffer_.empty(); }
  std::size_t partial_event_bytes() const { return buffer_.size(); }

 private:
  std::string buffer_;
  // Position in `buffer_` at which the search for an event's end continues.
  std::size_t search_start_ = 0;
};

}  // namespace peridotreach
