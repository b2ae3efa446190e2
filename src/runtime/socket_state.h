#pragma once

// What has arrived on a socket that has not been read.

#include <cstdint>

#include "runtime/asio.h"

namespace peridotreach {

// kClosed also stands for a socket that failed.
enum class SocketState : std::uint8_t {
  kNothingArrived,
  kBytesArrived,
  kClosed
};

// Returns the state of a connected socket without reading from it.
SocketState socket_state(tcp::socket& socket);

}  // namespace peridotreach
