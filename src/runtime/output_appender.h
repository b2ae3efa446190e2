#pragma once

// A log4cplus appender that writes to standard output without blocking.

#include <log4cplus/appender.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace peridotreach {

// Writes each line at once or, with buffering enabled, gathers lines up to the
// size of an atomic pipe write. Lines that standard output does not accept at
// once are dropped and counted; a later `log_lines_dropped` line reports the
// count.
class OutputAppender : public log4cplus::Appender {
 public:
  OutputAppender();
  ~OutputAppender() override;
  OutputAppender(const OutputAppender&) = delete;
  OutputAppender& operator=(const OutputAppender&) = delete;

  void close() override;

  // Enables buffering; the program must then call `flush` periodically.
  void enable_buffering() { buffered_ = true; }

  // Writes the buffered lines.
  void flush();

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  bool buffered_ = false;
  std::string buffer_;
  std::size_t line_count_ = 0;
  std::uint64_t dropped_lines_ = 0;
};

}  // namespace peridotreach
