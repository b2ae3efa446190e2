#pragma once

// Bounds the memory that endpoints' responses take in a process. Responses of
// faulty endpoints grow without end, so the largest one is ended first.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "libperidotreach/time.h"

namespace peridotreach {

// Time for a caller to take a response, or some of a stream whose buffer is
// full, while others need the memory. Endpoints end streams that are not read
// for some seconds.
inline constexpr Millis kSlowCallerPatience = 3 * kSecond;

// What the process holds of one response.
struct HeldResponse {
  std::size_t bytes = 0;
  // More may arrive. If not, the caller is being sent the whole response.
  bool is_arriving = true;
  // Time since which it has been sent.
  Millis sent_since = 0;

  bool operator==(const HeldResponse&) const = default;
};

// The responses of a process by request number.
struct ResponseMemory {
  std::size_t limit = 0;
  std::size_t total = 0;
  std::map<std::uint64_t, HeldResponse> responses;

  bool operator==(const ResponseMemory&) const = default;
};

// Returns the bytes for responses in a process that may use `process_limit`
// bytes; 0 stands for an unknown limit.
std::size_t response_limit(std::size_t process_limit);

// Records what the process holds of a response that is arriving.
void hold_response(ResponseMemory& memory, std::uint64_t request,
                   std::size_t bytes);

// Records that a response has arrived.
void complete_response(ResponseMemory& memory, std::uint64_t request,
                       Millis now);

// Forgets a response; one that is being sent to its caller only if `sent`.
void release_response(ResponseMemory& memory, std::uint64_t request, bool sent);

// Returns the largest response that its caller has not taken whole for some
// seconds, none if there is none or all are within the limit.
std::optional<std::uint64_t> untaken_response(const ResponseMemory& memory,
                                              Millis now);

// Returns the response to end, none if all are within the limit.
std::optional<std::uint64_t> response_to_end(const ResponseMemory& memory);

}  // namespace peridotreach
