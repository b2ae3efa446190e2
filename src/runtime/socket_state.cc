#include "runtime/socket_state.h"

#include <sys/socket.h>

#include <cerrno>

namespace peridotreach {

SocketState socket_state(tcp::socket& socket) {
  char byte = 0;
  const ssize_t received =
      recv(socket.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) return SocketState::kBytesArrived;
  const bool would_block =
      received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return would_block ? SocketState::kNothingArrived : SocketState::kClosed;
}

}  // namespace peridotreach
