#pragma once

// What the load tool saw of one request.

#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

// One request from its arrival to its end. Times are in milliseconds; gaps
// are those between tokens.
struct RequestRecord {
  std::string caller;
  std::string rank;
  std::string id;
  double arrived = 0;
  double first_token = -1;
  double ended = -1;
  std::uint64_t tokens = 0;
  std::vector<float> gaps;
  std::string refusal;
  std::string ran;
  std::uint32_t reconnects = 0;
  std::uint32_t wrong_order = 0;
  std::uint32_t joined = 0;
  bool completed = false;
  bool untrue_refusal = false;
};

}  // namespace peridotreach
