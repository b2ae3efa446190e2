#include "libperidotreach/signed_token.h"

#include <sodium.h>

#include <array>
#include <vector>

namespace peridotreach {
namespace {

constexpr int kBase64Variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;

// Bytes of the truncated MAC in a token.
constexpr std::size_t kMacBytes = 16;

// Longer tokens are rejected without decoding them.
constexpr std::size_t kMaxTokenBytes = 1024;

const unsigned char* bytes_of(const std::string& text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

std::string mac_of(const FleetKey& key, const std::string& message) {
  std::array<unsigned char, crypto_auth_BYTES> mac{};
  crypto_auth(mac.data(), bytes_of(message), message.size(),
              bytes_of(key.bytes));
  return {reinterpret_cast<const char*>(mac.data()), kMacBytes};
}

std::string encode(const std::string& raw) {
  std::vector<char> text(sodium_base64_encoded_len(raw.size(), kBase64Variant));
  sodium_bin2base64(text.data(), text.size(), bytes_of(raw), raw.size(),
                    kBase64Variant);
  return {text.data()};
}

Error invalid_token() {
  return {ErrorKind::kUnauthenticated, "the id was not issued by this system",
          "use the id exactly as it was returned"};
}

}  // namespace

FleetKey derive_fleet_key(const std::string& secret) {
  std::array<unsigned char, crypto_auth_KEYBYTES> key{};
  crypto_generichash(key.data(), key.size(), bytes_of(secret), secret.size(),
                     nullptr, 0);
  return {{reinterpret_cast<const char*>(key.data()), key.size()}};
}

std::string sign_token(const FleetKey& key, const std::string& prefix,
                       const std::string& payload) {
  return prefix + encode(mac_of(key, prefix + payload) + payload);
}

Result<std::string> verify_token(const FleetKey& key, const std::string& prefix,
                                 const std::string& token) {
  if (token.size() > kMaxTokenBytes) return invalid_token();
  if (token.compare(0, prefix.size(), prefix) != 0) return invalid_token();
  const std::string text = token.substr(prefix.size());
  std::string raw(text.size(), '\0');
  std::size_t length = 0;
  const int status = sodium_base642bin(
      reinterpret_cast<unsigned char*>(raw.data()), raw.size(), text.data(),
      text.size(), nullptr, &length, nullptr, kBase64Variant);
  if (status != 0 || length < kMacBytes) return invalid_token();
  raw.resize(length);
  const std::string mac = raw.substr(0, kMacBytes);
  std::string payload = raw.substr(kMacBytes);
  const std::string expected = mac_of(key, prefix + payload);
  if (sodium_memcmp(mac.data(), expected.data(), kMacBytes) != 0) {
    return invalid_token();
  }
  return payload;
}

std::string sha256_hex(const std::string& text) {
  std::array<unsigned char, crypto_hash_sha256_BYTES> hash{};
  crypto_hash_sha256(hash.data(), bytes_of(text), text.size());
  std::array<char, 2 * crypto_hash_sha256_BYTES + 1> hex{};
  sodium_bin2hex(hex.data(), hex.size(), hash.data(), hash.size());
  return {hex.data()};
}

}  // namespace peridotreach
