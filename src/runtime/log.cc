#include "runtime/log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <map>
#include <mutex>
#include <utility>

#include "runtime/clock.h"
#include "runtime/output_appender.h"

namespace peridotreach {
namespace {

// The program and VM that every line carries.
struct LogIdentity {
  std::string program;
  std::string vm;
};

LogIdentity& identity() {
  static LogIdentity instance;
  return instance;
}

const char* level_name(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

// Rate limit per message. Normal traffic of a node stays below it; during a
// flood of one message the log remains readable.
constexpr std::uint64_t kMaxLinesPerSecond = 200;

// Lines of one message in the current second. `dropped` counts the lines left
// out since the last one that was written.
struct LineRate {
  Millis second = 0;
  std::uint64_t lines = 0;
  std::uint64_t dropped = 0;
};

// Counts a line against the rate limit of `message`. Returns whether it may be
// written; if so, sets `dropped` to the number of lines dropped since the last
// one that was written.
bool admit_line(const std::string& message, std::uint64_t& dropped) {
  static std::mutex guard;
  static std::map<std::string, LineRate> rates;
  const std::scoped_lock lock(guard);
  LineRate& rate = rates[message];
  const Millis second = monotonic_now() / kSecond;
  if (rate.second != second) {
    rate.second = second;
    rate.lines = 0;
  }
  if (rate.lines >= kMaxLinesPerSecond) {
    rate.dropped += 1;
    return false;
  }
  rate.lines += 1;
  dropped = std::exchange(rate.dropped, 0);
  return true;
}

// The only appender, null until logging starts. log4cplus owns it.
OutputAppender*& current_appender() {
  static OutputAppender* appender = nullptr;
  return appender;
}

log4cplus::LogLevel to_log4cplus_level(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

}  // namespace

void start_log(const std::string& program, const std::string& vm,
               LogLevel min_level) {
  static log4cplus::Initializer initializer;
  identity() = {program, vm};
  current_appender() = new OutputAppender();
  log4cplus::SharedAppenderPtr appender(current_appender());
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(to_log4cplus_level(min_level));
}

void log(LogLevel level, const std::string& message,
         const std::vector<LogField>& fields) {
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  const log4cplus::LogLevel severity = to_log4cplus_level(level);
  if (!root.isEnabledFor(severity)) return;
  std::uint64_t dropped = 0;
  if (!admit_line(message, dropped)) return;
  boost::json::object line;
  line["at_ms"] = wall_now_ms();
  line["level"] = level_name(level);
  line["program"] = identity().program;
  line["vm"] = identity().vm;
  line["message"] = message;
  for (const LogField& field : fields) line[field.name] = field.value;
  if (dropped > 0) line["left_out"] = dropped;
  root.forcedLog(severity, boost::json::serialize(line));
}

void enable_log_buffering() {
  if (current_appender() != nullptr) current_appender()->enable_buffering();
}

void flush_log() {
  if (current_appender() != nullptr) current_appender()->flush();
}

LogLevel parse_log_level(const std::string& name) {
  if (name == "debug") return LogLevel::kDebug;
  if (name == "warning") return LogLevel::kWarning;
  if (name == "error") return LogLevel::kError;
  return LogLevel::kInfo;
}

}  // namespace peridotreach
