#pragma once

// The bound on parts of an HTTP message that no other limit covers, for callers
// and endpoints alike.

#include <cstddef>

namespace peridotreach {

// Bytes that are read ahead of the parser, in addition to a header within its
// limit. It bounds what a peer may send where no body is due: a line with the
// size of a chunk and its extensions, trailers, and requests that are sent
// before an earlier one is answered. No sender needs more than a few hundred
// bytes there.
inline constexpr std::size_t kMaxReadAheadBytes = 32U << 10U;

}  // namespace peridotreach
