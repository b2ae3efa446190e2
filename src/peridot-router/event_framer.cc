#include "peridot-router/event_framer.h"

#include <algorithm>
#include <charconv>

namespace peridotreach {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kEventEndCrLf = "\r\n\r\n";
constexpr std::string_view kIdField = "id:";

// Returns the position after the end of the first event at or after `from`,
// npos if no event is complete.
std::size_t find_event_end(std::string_view bytes, std::size_t from) {
  const std::size_t lf = bytes.find(kEventEnd, from);
  const std::size_t crlf = bytes.find(kEventEndCrLf, from);
  if (lf == std::string_view::npos && crlf == std::string_view::npos) {
    return std::string_view::npos;
  }
  if (crlf < lf) return crlf + kEventEndCrLf.size();
  return lf + kEventEnd.size();
}

// Returns the event's id, -1 if it has none.
std::int64_t event_id(std::string_view event) {
  std::size_t line_start = 0;
  while (line_start < event.size()) {
    const std::size_t end =
        std::min(event.find('\n', line_start), event.size());
    std::string_view line = event.substr(line_start, end - line_start);
    line_start = end + 1;
    if (!line.starts_with(kIdField)) continue;
    line.remove_prefix(kIdField.size());
    while (line.starts_with(' ')) line.remove_prefix(1);
    std::int64_t id = -1;
    std::from_chars(line.data(), line.data() + line.size(), id);
    return id;
  }
  return -1;
}

}  // namespace

std::vector<FramedEvent> EventFramer::feed(std::string_view bytes) {
  buffer_.append(bytes);
  std::vector<FramedEvent> events;
  std::size_t start = 0;
  while (true) {
    const std::size_t from = std::max(start, search_start_);
    const std::size_t end = find_event_end(buffer_, from);
    if (end == std::string::npos) break;
    const std::string_view event(buffer_.data() + start, end - start);
    events.push_back({std::string(event), event_id(event)});
    start = end;
    search_start_ = end;
  }
  buffer_.erase(0, start);
  // A terminator that is split between two reads starts in the last bytes.
  const std::size_t overlap = kEventEndCrLf.size() - 1;
  search_start_ = buffer_.size() > overlap ? buffer_.size() - overlap : 0;
  return events;
}

}  // namespace peridotreach
