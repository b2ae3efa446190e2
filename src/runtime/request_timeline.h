#pragma once

// Reconstructs what happened to one request from the logs of many processes.

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace peridotreach {

// One log line that is relevant to the request.
struct TimelineEntry {
  std::uint64_t at_ms = 0;
  std::string vm;
  std::string message;
  // The other fields as NAME=VALUE, separated by spaces.
  std::string detail;
  // The line belongs to no request. It records a change in what a process knew
  // of endpoints, peers or the store.
  bool is_context = false;

  bool operator==(const TimelineEntry&) const = default;
};

// The request's log lines in order of time, together with the context lines
// that the processes handling it logged meanwhile about its endpoints, peers
// and the store.
struct RequestTimeline {
  std::vector<TimelineEntry> entries;
  // How the request ended, in one sentence.
  std::string summary;

  bool operator==(const RequestTimeline&) const = default;
};

// Parsed log lines, from which timelines of several requests can be built.
class RequestLog {
 public:
  // Reads JSON lines. Skips lines that are not log lines of peridotreach.
  void read(std::istream& from);

  // Returns the timeline of the request `id`. It has no entries if no line
  // mentions the request.
  RequestTimeline timeline(const std::string& id) const;

 private:
  struct Line {
    TimelineEntry entry;
    std::string id;
    std::string endpoint;
    std::string status;
    std::string reason;
  };

  static bool parse_line(const std::string& text, Line& line);

  std::vector<Line> lines_;
};

}  // namespace peridotreach
