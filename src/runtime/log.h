#pragma once

// Structured logging: one JSON object per line on standard output, written
// through log4cplus. Callers must never log API keys or prompts. Lines are rate
// limited per message. Writing never blocks: lines that standard output does
// not accept at once are dropped and counted.

#include <string>
#include <vector>

namespace peridotreach {

// One key and value of a log line.
struct LogField {
  std::string name;
  std::string value;
};

// Severity of a log line.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Starts logging at `min_level` and above. Every line carries `program` and
// `vm`.
void start_log(const std::string& program, const std::string& vm,
               LogLevel min_level);

// Writes one line. Lines that exceed the rate limit of their message are
// dropped; the next line written with that message reports their number in
// `left_out`.
void log(LogLevel level, const std::string& message,
         const std::vector<LogField>& fields = {});

// Buffers lines instead of writing each one at once, which saves system calls.
// The program must then call `flush_log` periodically and before it exits.
void enable_log_buffering();

// Writes the buffered lines.
void flush_log();

// Parses the name of a level. Returns kInfo for an unknown name.
LogLevel parse_log_level(const std::string& name);

}  // namespace peridotreach
