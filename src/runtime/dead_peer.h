#pragma once

// Detection of peers that have become unreachable without closing connections.

#include "runtime/asio.h"

namespace peridotreach {

// Lets a connected socket fail about four seconds after its peer has become
// unreachable, whether it is idle or sends.
void enable_dead_peer_detection(tcp::socket& socket);

}  // namespace peridotreach
