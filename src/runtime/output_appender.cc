#include "runtime/output_appender.h"

#include <fcntl.h>
#include <log4cplus/helpers/loglog.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <climits>

namespace peridotreach {
namespace {

// A write of this size to a pipe is taken whole or not at all.
constexpr std::size_t kAtomicWrite = PIPE_BUF;

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
  if (lines_.empty()) return;
  const ssize_t written = write(STDOUT_FILENO, lines_.data(), lines_.size());
  if (written < 0) dropped_ += gathered_;
  lines_.clear();
  gathered_ = 0;
  if (written < 0 || dropped_ == 0) return;
  lines_ = "{\"message\":\"log_lines_dropped\",\"count\":" +
           std::to_string(dropped_) + "}\n";
  gathered_ = 1;
  dropped_ = 0;
}

void OutputAppender::append(const log4cplus::spi::InternalLoggingEvent& event) {
  const std::string& line = event.getMessage();
  if (lines_.size() + line.size() + 1 > kAtomicWrite) flush();
  lines_ += line;
  lines_ += '\n';
  gathered_ += 1;
  if (!gathers_) flush();
}

}  // namespace peridotreach
