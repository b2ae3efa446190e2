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

// Context lines are included from this long before the request's first line.
constexpr std::uint64_t kContextLeadMs = 3 * kSecond;

// Fields that are left out of the detail column, because every line has them or
// because they are shown in a column of their own.
constexpr std::array<std::string_view, 7> kExcludedFields = {
    "at_ms", "level", "program", "vm", "message", "id", "request"};

std::string text_of(const json::value& value) {
  if (value.is_string()) return std::string(value.as_string());
  if (value.is_bool()) return value.as_bool() ? "true" : "false";
  if (value.is_int64()) return std::to_string(value.as_int64());
  return "";
}

bool is_outcome(const TimelineEntry& entry) {
  return entry.message == "outcome";
}

std::string describe_outcome(const std::string& status,
                             const std::string& reason,
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

bool RequestLog::parse_line(const std::string& text, Line& line) {
  // Log collectors put a prefix in front of the JSON object.
  const std::size_t start = text.find('{');
  if (start == std::string::npos) return false;
  const Result<json::object> parsed = parse_object(text.substr(start));
  if (!ok(parsed)) return false;
  const json::object& from = value(parsed);
  TimelineEntry& entry = line.entry;
  entry.at_ms = static_cast<std::uint64_t>(int_member(from, "at_ms"));
  entry.vm = string_member(from, "vm");
  entry.message = string_member(from, "message");
  if (entry.vm.empty() || entry.message.empty()) return false;
  line.id = string_member(from, "id");
  line.endpoint = string_member(from, "endpoint");
  line.status = string_member(from, "status");
  line.reason = string_member(from, "reason");
  if (line.reason.empty()) line.reason = string_member(from, "cause");
  entry.is_context = line.id.empty() && !from.contains("request");
  for (const auto& member : from) {
    const std::string_view name = member.key();
    if (std::find(kExcludedFields.begin(), kExcludedFields.end(), name) !=
        kExcludedFields.end()) {
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
    if (parse_line(text, line)) lines_.push_back(std::move(line));
  }
}

RequestTimeline RequestLog::timeline(const std::string& id) const {
  RequestTimeline timeline;
  std::set<std::string> vms;
  std::set<std::string> endpoints;
  std::uint64_t first_ms = UINT64_MAX;
  std::uint64_t last_ms = 0;
  const Line* outcome = nullptr;
  std::string placed_at;
  for (const Line& line : lines_) {
    if (line.id != id) continue;
    vms.insert(line.entry.vm);
    if (!line.endpoint.empty()) endpoints.insert(line.endpoint);
    if (line.entry.message == "placed") placed_at = line.endpoint;
    first_ms = std::min(first_ms, line.entry.at_ms);
    last_ms = std::max(last_ms, line.entry.at_ms);
    if (is_outcome(line.entry)) outcome = &line;
  }
  if (vms.empty()) {
    timeline.summary = "No line in these logs mentions the request.";
    return timeline;
  }
  // Without an outcome the process ended before the request did, or the logs
  // end first; context lines are then included up to the end.
  if (outcome == nullptr) last_ms = UINT64_MAX;
  for (const Line& line : lines_) {
    const TimelineEntry& entry = line.entry;
    const bool is_own = line.id == id;
    const bool is_relevant_context =
        entry.is_context && vms.contains(entry.vm) &&
        entry.at_ms + kContextLeadMs >= first_ms && entry.at_ms <= last_ms &&
        (line.endpoint.empty() || endpoints.contains(line.endpoint));
    if (is_own || is_relevant_context) timeline.entries.push_back(entry);
  }
  std::stable_sort(timeline.entries.begin(), timeline.entries.end(),
                   [](const TimelineEntry& a, const TimelineEntry& b) {
                     return a.at_ms < b.at_ms;
                   });
  if (outcome != nullptr) {
    timeline.summary = describe_outcome(
        outcome->status, outcome->reason,
        outcome->endpoint.empty() ? placed_at : outcome->endpoint);
    return timeline;
  }
  timeline.summary =
      "No outcome was logged: the process ended, or the request was still in "
      "flight" +
      (placed_at.empty() ? std::string() : " at " + placed_at) + ".";
  return timeline;
}

}  // namespace peridotreach
