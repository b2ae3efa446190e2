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

// Name and VM of this process in every line.
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

// Lines of one message that are written in a second. Figures of a node at
// today's sizes are below it; a flood stays readable.
constexpr std::uint64_t kLinesPerSecond = 200;

// Lines of one message in the present second.
struct LineRate {
  Millis second = 0;
  std::uint64_t lines = 0;
  std::uint64_t left_out = 0;
};

// Counts a line. Returns whether it is written; `left_out` then tells how many
// were not since the last one that was.
bool take_line(const std::string& message, std::uint64_t& left_out) {
  static std::mutex guard;
  static std::map<std::string, LineRate> rates;
  const std::scoped_lock lock(guard);
  LineRate& rate = rates[message];
  const Millis second = monotonic_now() / kSecond;
  if (rate.second != second) {
    rate.second = second;
    rate.lines = 0;
  }
  if (rate.lines >= kLinesPerSecond) {
    rate.left_out += 1;
    return false;
  }
  rate.lines += 1;
  left_out = std::exchange(rate.left_out, 0);
  return true;
}

// The one appender; log4cplus owns it.
OutputAppender*& appender_in_use() {
  static OutputAppender* appender = nullptr;
  return appender;
}

log4cplus::LogLevel level_of(LogLevel level) {
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
               LogLevel least) {
  static log4cplus::Initializer initializer;
  identity() = {program, vm};
  appender_in_use() = new OutputAppender();
  log4cplus::SharedAppenderPtr appender(appender_in_use());
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(level_of(least));
}

void log(LogLevel level, const std::string& message,
         const std::vector<LogField>& fields) {
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  const log4cplus::LogLevel severity = level_of(level);
  if (!root.isEnabledFor(severity)) return;
  std::uint64_t left_out = 0;
  if (!take_line(message, left_out)) return;
  boost::json::object line;
  line["at_ms"] = wall_now_ms();
  line["level"] = level_name(level);
  line["program"] = identity().program;
  line["vm"] = identity().vm;
  line["message"] = message;
  for (const LogField& field : fields) line[field.name] = field.value;
  if (left_out > 0) line["left_out"] = left_out;
  root.forcedLog(severity, boost::json::serialize(line));
}

void gather_log() {
  if (appender_in_use() != nullptr) appender_in_use()->gather();
}

void flush_log() {
  if (appender_in_use() != nullptr) appender_in_use()->flush();
}

LogLevel log_level(const std::string& name) {
  if (name == "debug") return LogLevel::kDebug;
  if (name == "warning") return LogLevel::kWarning;
  if (name == "error") return LogLevel::kError;
  return LogLevel::kInfo;
}

}  // namespace peridotreach
