#pragma once

// Compression of large values that processes send each other.

#include <cstddef>
#include <string>

#include "libperidotreach/error.h"

namespace peridotreach {

// Returns `bytes` compressed.
std::string deflate_bytes(const std::string& bytes);

// Returns the bytes that `deflate_bytes` compressed. Fails on other input, and
// on input that inflates to more than `max_bytes`.
Result<std::string> inflate_bytes(const std::string& compressed,
                                  std::size_t max_bytes);

}  // namespace peridotreach
