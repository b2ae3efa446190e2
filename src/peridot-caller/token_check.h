#pragma once

// Checks that a stream delivers each token once, in order and from a single
// generation. The engine stand-in writes tokens as tINDEX.GENERATION.

#include <cstdint>
#include <string>

namespace peridotreach {

// State of the check of one stream.
struct TokenCheck {
  // Index that the next token should have.
  std::int64_t next_index = 0;

  // Generation of the first token.
  std::string generation;

  // Tokens with another index than expected.
  std::uint32_t out_of_order_tokens = 0;

  // Tokens of another generation than that of the first token.
  std::uint32_t generation_mismatches = 0;

  bool operator==(const TokenCheck&) const = default;
};

// Checks the text of the next token. A token that cannot be parsed counts as
// out of order.
void check_token(TokenCheck& check, const std::string& text);

}  // namespace peridotreach
