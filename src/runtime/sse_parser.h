#pragma once

// Incremental parser of server-sent events.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace peridotreach {

// One event; a comment line alone gives an event with `comment` set.
struct SseEvent {
  std::string type;
  std::string data;
  bool comment = false;
};

// Splits a byte stream into events. Bounded: a longer event is an error.
class SseParser {
 public:
  // The longest event accepted, in bytes.
  static constexpr std::size_t kMostEventBytes = 8u << 20u;

  // Adds bytes and returns the events that they complete.
  std::vector<SseEvent> feed(std::string_view bytes);

  // Whether an event was too long; nothing more is parsed then.
  bool failed() const { return failed_; }

 private:
  std::string buffer_;
  bool failed_ = false;
};

// Returns an event as it is written to a stream.
std::string format_sse(std::string_view type, std::string_view data);

}  // namespace peridotreach
