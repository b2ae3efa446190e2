#include "runtime/deflate.h"

#include <zlib.h>

#include <algorithm>

namespace peridotreach {
namespace {

constexpr std::size_t kInflateStep = 64U << 10U;

Error malformed(const std::string& what) {
  return {ErrorKind::kInvalidInput, "a compressed value " + what,
          "check that all processes run compatible versions"};
}

}  // namespace

std::string deflate_bytes(const std::string& bytes) {
  uLongf size = compressBound(bytes.size());
  std::string compressed(size, '\0');
  compress2(reinterpret_cast<Bytef*>(compressed.data()), &size,
            reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(),
            Z_BEST_SPEED);
  compressed.resize(size);
  return compressed;
}

Result<std::string> inflate_bytes(const std::string& compressed,
                                  std::size_t max_bytes) {
  z_stream stream = {};
  if (inflateInit(&stream) != Z_OK) return malformed("cannot be inflated");
  stream.next_in =
      reinterpret_cast<Bytef*>(const_cast<char*>(compressed.data()));
  stream.avail_in = static_cast<uInt>(compressed.size());
  std::string bytes;
  int status = Z_OK;
  while (status == Z_OK && bytes.size() <= max_bytes) {
    const std::size_t filled = bytes.size();
    bytes.resize(filled + kInflateStep);
    stream.next_out = reinterpret_cast<Bytef*>(bytes.data() + filled);
    stream.avail_out = static_cast<uInt>(kInflateStep);
    status = inflate(&stream, Z_NO_FLUSH);
    bytes.resize(filled + kInflateStep - stream.avail_out);
    // No input is left, but the end has not been reached.
    if (status == Z_OK && stream.avail_in == 0 && stream.avail_out > 0) break;
  }
  inflateEnd(&stream);
  if (bytes.size() > max_bytes) return malformed("is too large");
  if (status != Z_STREAM_END) return malformed("is malformed or cut off");
  return bytes;
}

}  // namespace peridotreach
