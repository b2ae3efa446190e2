#include "runtime/dead_peer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <string>

#include "runtime/log.h"

namespace peridotreach {
namespace {

// TCP keep-alive probes: an idle connection to an unreachable peer fails after
// about four seconds.
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

// A connection whose sent data stays unacknowledged for this long is closed.
constexpr unsigned kUnacknowledgedTimeoutMs = 4000;

template <class Value>
void set_tcp_option(tcp::socket& socket, int option, Value value) {
  const int result = setsockopt(socket.native_handle(), IPPROTO_TCP, option,
                                &value, sizeof value);
  if (result != 0) {
    log(LogLevel::kDebug, "cannot set TCP socket option",
        {{"option", std::to_string(option)}});
  }
}

}  // namespace

void enable_dead_peer_detection(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  set_tcp_option(socket, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  set_tcp_option(socket, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  set_tcp_option(socket, TCP_KEEPCNT, kKeepAliveProbes);
  set_tcp_option(socket, TCP_USER_TIMEOUT, kUnacknowledgedTimeoutMs);
}

}  // namespace peridotreach
