#pragma once

// Checks a stream of tokens: each once, in order, from one generation. The
// engine stand-in writes tokens as tINDEX.GENERATION.

#include <cstdint>
#include <string>

namespace peridotreach {

// State of the check of one stream.
struct TokenCheck {
  std::int64_t next = 0;
  std::string generation;
  std::uint32_t wrong_order = 0;
  std::uint32_t joined = 0;

  bool operator==(const TokenCheck&) const = default;
};

// Takes the text of the next token.
void check_token(TokenCheck& check, const std::string& text);

}  // namespace peridotreach
