#include "runtime/log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <memory>
#include <utility>

#include "runtime/clock.h"

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
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(true, true));
  appender->setLayout(
      std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
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
  boost::json::object line;
  line["at_ms"] = wall_now_ms();
  line["level"] = level_name(level);
  line["program"] = identity().program;
  line["vm"] = identity().vm;
  line["message"] = message;
  for (const LogField& field : fields) line[field.name] = field.value;
  root.forcedLog(severity, boost::json::serialize(line));
}

LogLevel log_level(const std::string& name) {
  if (name == "debug") return LogLevel::kDebug;
  if (name == "warning") return LogLevel::kWarning;
  if (name == "error") return LogLevel::kError;
  return LogLevel::kInfo;
}

}  // namespace peridotreach
