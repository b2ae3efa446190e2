#pragma once

// The path of one request through the fleet, read from the log lines of many
// processes.

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace peridotreach {

// One log line that bears on the request.
struct TimelineEntry {
  std::uint64_t at_ms = 0;
  std::string vm;
  std::string decision;
  // The other fields, NAME=VALUE.
  std::string detail;
  // It changed what a process believed, and names no request.
  bool is_belief = false;

  bool operator==(const TimelineEntry&) const = default;
};

// The request's lines in the order of time, with what the processes that
// handled it came to believe meanwhile of its endpoints, peers and the store.
struct RequestTimeline {
  std::vector<TimelineEntry> entries;
  // What became of the request, in a sentence.
  std::string cause;

  bool operator==(const RequestTimeline&) const = default;
};

// Log lines by request id, for many questions about the same logs.
class RequestLog {
 public:
  // Reads JSON lines; what is no log line of ours is left out.
  void read(std::istream& from);

  // Returns the timeline of the request `id`; it has no entries if no line
  // names it.
  RequestTimeline timeline(const std::string& id) const;

 private:
  struct Line {
    TimelineEntry entry;
    std::string id;
    std::string endpoint;
    std::string status;
    std::string reason;
  };

  static bool decode(const std::string& text, Line& line);

  std::vector<Line> lines_;
};

}  // namespace peridotreach
