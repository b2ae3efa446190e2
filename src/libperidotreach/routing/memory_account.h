#pragma once

// Accounts for the memory of a process that callers and endpoints decide on,
// and chooses who waits, is refused or is ended when it is used up. Load: many
// large requests that stop short of their end, beside ordinary small ones.

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "libperidotreach/routing/response_memory.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// Largest request that counts as small, in bytes with its head. Small requests
// have a share of their own.
inline constexpr std::size_t kSmallRequestBytes = 32U << 10U;

// Memory of an open connection with its buffer, parser and coroutines, in
// bytes. Measured on idle connections: half of it.
inline constexpr std::size_t kConnectionBytes = 8U << 10U;

// A request that is being read and gets no bytes for this long gives way when
// memory runs out, and one that waits gives way to an earlier one that has
// waited for this long. It covers the retransmission of a lost packet.
inline constexpr Millis kStalledAfter = kSecond;

// Shares of a process's memory, in bytes.
struct MemoryShares {
  // Requests above kSmallRequestBytes, from their first byte until they are no
  // longer needed.
  std::size_t large_requests = 0;
  // Room that large requests leave to small ones.
  std::size_t small_requests = 0;
  // Responses and streams that callers have not taken.
  std::size_t responses = 0;
  std::size_t connections = 0;

  bool operator==(const MemoryShares&) const = default;
};

// Returns the shares of a process that may use `process_limit` bytes; 0 stands
// for an unknown limit. One request of `largest_request` bytes always fits.
MemoryShares memory_shares(std::size_t process_limit,
                           std::size_t largest_request);

// Returns how many of `sockets` the connections of callers and their requests
// may take. The rest is left to peers, the store and listeners. 0 stands for no
// limit.
std::size_t caller_socket_limit(std::size_t sockets);

// Returns how many of `sockets` the connections of each of the other listeners
// may take, such as those for address look-ups.
std::size_t query_socket_limit(std::size_t sockets);

// What the process holds of one request.
struct HeldRequest {
  std::size_t bytes = 0;
  // More of it may arrive.
  bool is_reading = true;
  // It was not given the memory that it asked for last.
  bool is_waiting = false;
  // It was chosen to be ended, and holds its memory until it is released.
  bool is_ending = false;
  // Time at which it was last given memory or asked for some.
  Millis progressed_at = 0;
  // Time at which it began to wait.
  Millis waiting_since = 0;

  bool operator==(const HeldRequest&) const = default;
};

// The memory of a process by holder. Holders are numbered in the order of their
// arrival.
struct MemoryAccount {
  MemoryShares shares;
  std::map<std::uint64_t, HeldRequest> requests;
  std::size_t request_bytes = 0;
  std::size_t large_request_bytes = 0;
  // What those that are ending hold.
  std::size_t ending_bytes = 0;
  std::size_t ending_large_bytes = 0;
  ResponseMemory responses;

  bool operator==(const MemoryAccount&) const = default;
};

// The answer to a request for memory: whether it is granted, and the holders to
// end. One that is not granted may ask again once those have ended.
struct MemoryAnswer {
  bool is_granted = false;
  std::vector<std::uint64_t> to_end;

  bool operator==(const MemoryAnswer&) const = default;
};

// Asks for `bytes` in all for the request of `holder`, which is being read.
MemoryAnswer hold_request(MemoryAccount& account, std::uint64_t holder,
                          std::size_t bytes, Millis now);

// Records that a request has been read whole.
void complete_request(MemoryAccount& account, std::uint64_t holder);

// Records that nothing is held of a request any more.
void release_request(MemoryAccount& account, std::uint64_t holder);

}  // namespace peridotreach
