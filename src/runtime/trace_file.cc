#include "runtime/trace_file.h"

#include <array>

namespace peridotreach {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kBitsInByte = 8;

std::array<char, kLengthBytes> encode_length(std::size_t length) {
  std::array<char, kLengthBytes> bytes{};
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    bytes.at(i) = static_cast<char>((length >> (kBitsInByte * i)) & 0xffu);
  }
  return bytes;
}

std::size_t decode_length(const std::array<char, kLengthBytes>& bytes) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes.at(i)))
              << (kBitsInByte * i);
  }
  return length;
}

}  // namespace

TraceWriter::TraceWriter(const std::string& path) {
  if (path.empty()) return;
  file_.open(path, std::ios::binary | std::ios::trunc);
}

void TraceWriter::write(const std::vector<char>& record) {
  if (written_ + record.size() + kLengthBytes > kMaxTraceBytes) return;
  const auto prefix = encode_length(record.size());
  file_.write(prefix.data(), kLengthBytes);
  file_.write(record.data(), static_cast<std::streamsize>(record.size()));
  file_.flush();
  written_ += record.size() + kLengthBytes;
}

TraceReader::TraceReader(const std::string& path)
    : file_(path, std::ios::binary) {}

bool TraceReader::read(std::vector<char>& record) {
  std::array<char, kLengthBytes> prefix{};
  if (!file_.read(prefix.data(), kLengthBytes)) return false;
  const std::size_t length = decode_length(prefix);
  if (length > kMaxTraceBytes) return false;
  record.resize(length);
  return static_cast<bool>(
      file_.read(record.data(), static_cast<std::streamsize>(length)));
}

}  // namespace peridotreach
