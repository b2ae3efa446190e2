#include "runtime/base64.h"

#include <sodium.h>

#include <vector>

namespace peridotreach {

std::string base64_encode(const std::string& raw) {
  constexpr int kVariant = sodium_base64_VARIANT_ORIGINAL;
  std::vector<char> text(sodium_base64_encoded_len(raw.size(), kVariant));
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(raw.data()),
                    raw.size(), kVariant);
  return {text.data()};
}

std::string base64_decode(const std::string& text) {
  std::string raw(text.size(), '\0');
  std::size_t length = 0;
  const int status = sodium_base642bin(
      reinterpret_cast<unsigned char*>(raw.data()), raw.size(), text.data(),
      text.size(), nullptr, &length, nullptr, sodium_base64_VARIANT_ORIGINAL);
  if (status != 0) return {};
  raw.resize(length);
  return raw;
}

}  // namespace peridotreach
