#include "runtime/sse_parser.h"

namespace peridotreach {
namespace {

// Returns the text after the colon of a field line, without one leading space.
std::string_view field_value(std::string_view line, std::size_t colon) {
  std::string_view value = line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  return value;
}

void apply_field_line(SseEvent& event, std::string_view line) {
  if (line.front() == ':') {
    event.comment = true;
    return;
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) return;
  const std::string_view name = line.substr(0, colon);
  if (name == "event") event.type = field_value(line, colon);
  if (name == "data") {
    if (!event.data.empty()) event.data += '\n';
    event.data += field_value(line, colon);
  }
}

SseEvent parse_block(std::string_view block) {
  SseEvent event;
  while (!block.empty()) {
    std::size_t end = block.find('\n');
    if (end == std::string_view::npos) end = block.size();
    std::string_view line = block.substr(0, end);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (!line.empty()) apply_field_line(event, line);
    block.remove_prefix(end < block.size() ? end + 1 : end);
  }
  return event;
}

}  // namespace

std::vector<SseEvent> SseParser::feed(std::string_view bytes) {
  std::vector<SseEvent> events;
  if (failed_) return events;
  buffer_.append(bytes);
  std::size_t start = 0;
  while (true) {
    const std::size_t end = buffer_.find("\n\n", start);
    if (end == std::string::npos) break;
    const std::string_view block(buffer_.data() + start, end - start);
    if (!block.empty()) events.push_back(parse_block(block));
    start = end + 2;
  }
  buffer_.erase(0, start);
  if (buffer_.size() > kMaxEventBytes) failed_ = true;
  return events;
}

std::string format_sse(std::string_view type, std::string_view data) {
  std::string text;
  text.reserve(type.size() + data.size() + 20);
  if (!type.empty()) {
    text += "event: ";
    text += type;
    text += '\n';
  }
  text += "data: ";
  text += data;
  text += "\n\n";
  return text;
}

}  // namespace peridotreach
