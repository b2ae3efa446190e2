#pragma once

// Structured logs: one JSON object a line on standard output, written by
// log4cplus. Keys and prompts are never logged. Lines are bounded by a rate
// and never block: what a reader does not take is dropped and counted.

#include <string>
#include <vector>

namespace peridotreach {

// One named value of a log line.
struct LogField {
  std::string name;
  std::string value;
};

// Severity of a log line.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Starts logging for `program` on `vm`.
void start_log(const std::string& program, const std::string& vm,
               LogLevel least);

// Writes one line. Lines of one message beyond the rate are counted and told
// with the next one that is written.
void log(LogLevel level, const std::string& message,
         const std::vector<LogField>& fields = {});

// Gathers lines instead of writing each at once, which saves system calls.
// The program then calls `flush_log` at an interval and at its end.
void gather_log();

// Writes out the gathered lines.
void flush_log();

// Returns the level with `name`, kInfo if there is none.
LogLevel log_level(const std::string& name);

}  // namespace peridotreach
