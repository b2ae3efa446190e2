#pragma once

// The measurements of the load tool for one request.

#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

// One request from its arrival to its end, over all its connections and
// resends. Points in time are milliseconds of the monotonic clock, -1 if not
// reached.
struct RequestRecord {
  std::string caller;
  std::string rank;
  std::string id;

  double arrived = 0;
  double first_token = -1;
  double ended = -1;
  std::uint64_t tokens = 0;

  // Milliseconds between consecutive tokens.
  std::vector<float> gaps;

  // Error code of the last attempt; empty if there was no error.
  std::string refusal;

  // Execution status that the last error reported.
  std::string ran;

  std::uint32_t reconnects = 0;

  // Tokens out of order, and completed streams whose usage reports another
  // number of tokens than arrived.
  std::uint32_t wrong_order = 0;

  // Tokens of another generation than that of the first token.
  std::uint32_t joined = 0;

  bool completed = false;

  // Whether an error response said that the request had not run although tokens
  // of it had arrived.
  bool untrue_refusal = false;
};

}  // namespace peridotreach
