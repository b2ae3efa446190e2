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

  double arrived_at_ms = 0;
  double first_token_at_ms = -1;
  double ended_at_ms = -1;
  std::uint64_t tokens = 0;

  // Milliseconds between consecutive tokens.
  std::vector<float> token_gaps_ms;

  // Error code of the last attempt; empty if there was no error.
  std::string refusal_code;

  // Execution status that the last error reported.
  std::string execution_status;

  std::uint32_t reconnects = 0;

  // Tokens out of order, and completed streams whose usage reports another
  // number of tokens than arrived.
  std::uint32_t out_of_order_tokens = 0;

  // Tokens of another generation than that of the first token.
  std::uint32_t generation_mismatches = 0;

  bool completed = false;

  // Whether an error response said that the request had not run although tokens
  // of it had arrived.
  bool false_not_run_claim = false;
};

}  // namespace peridotreach
