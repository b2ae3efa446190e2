#pragma once

// A log4cplus appender that gathers lines and writes them to standard output
// without ever blocking.

#include <log4cplus/appender.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace peridotreach {

// Writes each line, or gathers lines up to the size of an atomic pipe write.
// Lines that standard output does not take at once are dropped and counted.
class OutputAppender : public log4cplus::Appender {
 public:
  OutputAppender();
  ~OutputAppender() override;
  OutputAppender(const OutputAppender&) = delete;
  OutputAppender& operator=(const OutputAppender&) = delete;

  void close() override;

  // Gathers lines from now on; the program calls `flush` at an interval.
  void gather() { gathers_ = true; }

  // Writes the gathered lines.
  void flush();

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  bool gathers_ = false;
  std::string lines_;
  std::size_t gathered_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace peridotreach
