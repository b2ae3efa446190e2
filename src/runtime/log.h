#pragma once

// Structured logs: one JSON object a line, written by log4cplus. Keys and
// prompts are never logged.

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

// Starts logging to standard error for `program` on `vm`.
void start_log(const std::string& program, const std::string& vm,
               LogLevel least);

// Writes one line.
void log(LogLevel level, const std::string& message,
         const std::vector<LogField>& fields = {});

// Returns the level with `name`, kInfo if there is none.
LogLevel log_level(const std::string& name);

}  // namespace peridotreach
