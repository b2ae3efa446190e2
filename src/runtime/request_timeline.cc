#include "runtime/request_timeline.h"

#include <algorithm>
#include <array>
#include <istream>
#include <set>
#include <string_view>

#include "libperidotreach/time.h"
#include "runtime/json.h"

namespace peridotreach {
namespace {

// What a process believed is shown from this long before the request on.
constexpr std::uint64_t kBefore = 3 * kSecond;

// Fields that every line has or that have a column of their own.
constexpr std::array<std::string_view, 7> kColumns = {
    "at_ms", "level", "program", "vm", "message", "id", "request"};

std::string text_of(const json::value& value) {
  if (value.is_string()) return std::string(value.as_string());
  if (value.is_bool()) return value.as_bool() ? "true" : "false";
  if (value.is_int64()) return std::to_string(value.as_int64());
  return "";
}

bool is_final(const TimelineEntry& entry) {
  return entry.decision == "outcome";
}

std::string describe_end(const std::string& status, const std::string& reason,
                         const std::string& endpoint) {
  const std::string at = endpoint.empty() ? "" : " at " + endpoint;
  if (status == "complete") return "The stream was completed" + at + ".";
  if (status == "caller_left") return "The caller closed its connection.";
  if (status == "broken_off") {
    return "The stream was broken off" + at + ": " + reason + ".";
  }
  if (!reason.empty()) {
    return "Answered " + status + " by the router: " + reason + at + ".";
  }
  return "The endpoint's answer " + status + at + " was delivered.";
}

}  // namespace

bool RequestLog::decode(const std::string& text, Line& line) {
  // Collectors of logs write their own words in front.
  const std::size_t start = text.find('{');
  if (start == std::string::npos) return false;
  const Result<json::object> parsed = parse_object(text.substr(start));
  if (!ok(parsed)) return false;
  const json::object& from = value(parsed);
  TimelineEntry& entry = line.entry;
  entry.at_ms = static_cast<std::uint64_t>(number_member(from, "at_ms"));
  entry.vm = text_member(from, "vm");
  entry.decision = text_member(from, "message");
  if (entry.vm.empty() || entry.decision.empty()) return false;
  line.id = text_member(from, "id");
  line.endpoint = text_member(from, "endpoint");
  line.status = text_member(from, "status");
  line.reason = text_member(from, "reason");
  if (line.reason.empty()) line.reason = text_member(from, "cause");
  entry.is_belief = line.id.empty() && !from.contains("request");
  for (const auto& member : from) {
    const std::string_view name = member.key();
    if (std::find(kColumns.begin(), kColumns.end(), name) != kColumns.end()) {
      continue;
    }
    entry.detail += (entry.detail.empty() ? "" : " ") + std::string(name) +
                    "=" + text_of(member.value());
  }
  return true;
}

void RequestLog::read(std::istream& from) {
  std::string text;
  while (std::getline(from, text)) {
    Line line;
    if (decode(text, line)) lines_.push_back(std::move(line));
  }
}

RequestTimeline RequestLog::timeline(const std::string& id) const {
  RequestTimeline timeline;
  std::set<std::string> vms;
  std::set<std::string> endpoints;
  std::uint64_t first = UINT64_MAX;
  std::uint64_t last = 0;
  const Line* end = nullptr;
  std::string placed_at;
  for (const Line& line : lines_) {
    if (line.id != id) continue;
    vms.insert(line.entry.vm);
    if (!line.endpoint.empty()) endpoints.insert(line.endpoint);
    if (line.entry.decision == "placed") placed_at = line.endpoint;
    first = std::min(first, line.entry.at_ms);
    last = std::max(last, line.entry.at_ms);
    if (is_final(line.entry)) end = &line;
  }
  if (vms.empty()) {
    timeline.cause = "No line of these logs names the request.";
    return timeline;
  }
  // Without an outcome the request outlived its process or the logs.
  if (end == nullptr) last = UINT64_MAX;
  for (const Line& line : lines_) {
    const TimelineEntry& entry = line.entry;
    const bool is_own = line.id == id;
    const bool bears_on =
        entry.is_belief && vms.contains(entry.vm) &&
        entry.at_ms + kBefore >= first && entry.at_ms <= last &&
        (line.endpoint.empty() || endpoints.contains(line.endpoint));
    if (is_own || bears_on) timeline.entries.push_back(entry);
  }
  std::stable_sort(timeline.entries.begin(), timeline.entries.end(),
                   [](const TimelineEntry& a, const TimelineEntry& b) {
                     return a.at_ms < b.at_ms;
                   });
  if (end != nullptr) {
    timeline.cause =
        describe_end(end->status, end->reason,
                     end->endpoint.empty() ? placed_at : end->endpoint);
    return timeline;
  }
  timeline.cause =
      "No outcome was logged: the process ended, or the request was still in "
      "flight" +
      (placed_at.empty() ? std::string() : " at " + placed_at) + ".";
  return timeline;
}

}  // namespace peridotreach
