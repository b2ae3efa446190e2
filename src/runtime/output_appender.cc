#include "runtime/output_appender.h"

#include <fcntl.h>
#include <log4cplus/helpers/loglog.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <climits>

namespace peridotreach {
namespace {

// A non-blocking write of up to PIPE_BUF bytes to a pipe succeeds completely or
// not at all, so lines up to this size are never cut.
constexpr std::size_t kMaxAtomicWriteBytes = PIPE_BUF;

}  // namespace

OutputAppender::OutputAppender() {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

OutputAppender::~OutputAppender() { destructorImpl(); }

void OutputAppender::close() {
  flush();
  closed = true;
}

void OutputAppender::flush() {
  if (buffer_.empty()) return;
  const ssize_t written = write(STDOUT_FILENO, buffer_.data(), buffer_.size());
  if (written < 0) dropped_lines_ += line_count_;
  buffer_.clear();
  line_count_ = 0;
  if (written < 0 || dropped_lines_ == 0) return;
  buffer_ = "{\"message\":\"log_lines_dropped\",\"count\":" +
            std::to_string(dropped_lines_) + "}\n";
  line_count_ = 1;
  dropped_lines_ = 0;
}

void OutputAppender::append(const log4cplus::spi::InternalLoggingEvent& event) {
  const std::string& line = event.getMessage();
  if (buffer_.size() + line.size() + 1 > kMaxAtomicWriteBytes) flush();
  buffer_ += line;
  buffer_ += '\n';
  line_count_ += 1;
  if (!buffered_) flush();
}

}  // namespace peridotreach
