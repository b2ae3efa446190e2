#pragma once

// Incremental parser of server-sent events.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace peridotreach {

// A parsed event. `comment` is set if the event contains a comment line; a
// block of comments alone is an event too.
struct SseEvent {
  std::string type;
  std::string data;
  bool comment = false;
};

// Splits a byte stream into events. Parsing fails once an incomplete event
// exceeds the size limit, which bounds the buffered data.
class SseParser {
 public:
  // Largest amount of data buffered for an incomplete event.
  static constexpr std::size_t kMaxEventBytes = 8u << 20u;

  // Appends `bytes` to the input and returns the events that they complete.
  std::vector<SseEvent> feed(std::string_view bytes);

  // Returns whether an event was too long. Input is ignored from then on.
  bool failed() const { return failed_; }

 private:
  std::string buffer_;
  bool failed_ = false;
};

// Formats an event for a stream. An empty `type` omits the event line.
std::string format_sse(std::string_view type, std::string_view data);

}  // namespace peridotreach
