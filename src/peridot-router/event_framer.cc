#include "peridot-router/event_framer.h"

#include <algorithm>
#include <charconv>

namespace peridotreach {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kEventEndCrLf = "\r\n\r\n";
constexpr std::string_view kIdField = "id:";

// Returns the position after the first event's end, npos if it is not whole.
std::size_t event_length(std::string_view bytes, std::size_t from) {
  const std::size_t plain = bytes.find(kEventEnd, from);
  const std::size_t carriage = bytes.find(kEventEndCrLf, from);
  if (plain == std::string_view::npos && carriage == std::string_view::npos) {
    return std::string_view::npos;
  }
  if (carriage < plain) return carriage + kEventEndCrLf.size();
  return plain + kEventEnd.size();
}

std::int64_t event_id(std::string_view event) {
  std::size_t at = 0;
  while (at < event.size()) {
    const std::size_t end = std::min(event.find('\n', at), event.size());
    std::string_view line = event.substr(at, end - at);
    at = end + 1;
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
    const std::size_t end = event_length(buffer_, from);
    if (end == std::string::npos) break;
    const std::string_view whole(buffer_.data() + start, end - start);
    events.push_back({std::string(whole), event_id(whole)});
    start = end;
    search_start_ = end;
  }
  buffer_.erase(0, start);
  // An end that is split between two reads begins in the last bytes.
  const std::size_t overlap = kEventEndCrLf.size() - 1;
  search_start_ = buffer_.size() > overlap ? buffer_.size() - overlap : 0;
  return events;
}

}  // namespace peridotreach
