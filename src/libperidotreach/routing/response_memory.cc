#include "libperidotreach/routing/response_memory.h"

namespace peridotreach {
namespace {

// Part of the process's memory. A string that grows takes up to three times its
// length for a moment.
constexpr std::size_t kProcessShareDivisor = 8;

constexpr std::size_t kDefaultLimitBytes = 16U << 20U;

}  // namespace

std::size_t response_limit(std::size_t process_limit) {
  return process_limit == 0 ? kDefaultLimitBytes
                            : process_limit / kProcessShareDivisor;
}

void hold_response(ResponseMemory& memory, std::uint64_t request,
                   std::size_t bytes) {
  HeldResponse& held = memory.responses[request];
  memory.total += bytes - held.bytes;
  held = {bytes, true, 0};
}

void complete_response(ResponseMemory& memory, std::uint64_t request,
                       Millis now) {
  const auto found = memory.responses.find(request);
  if (found == memory.responses.end()) return;
  found->second.is_arriving = false;
  found->second.sent_since = now;
}

void release_response(ResponseMemory& memory, std::uint64_t request,
                      bool sent) {
  const auto found = memory.responses.find(request);
  if (found == memory.responses.end()) return;
  if (!found->second.is_arriving && !sent) return;
  memory.total -= found->second.bytes;
  memory.responses.erase(found);
}

std::optional<std::uint64_t> untaken_response(const ResponseMemory& memory,
                                              Millis now) {
  if (memory.total <= memory.limit) return std::nullopt;
  std::optional<std::uint64_t> largest;
  std::size_t largest_bytes = 0;
  for (const auto& [request, held] : memory.responses) {
    if (held.is_arriving || now - held.sent_since < kSlowCallerPatience)
      continue;
    if (held.bytes <= largest_bytes) continue;
    largest = request;
    largest_bytes = held.bytes;
  }
  return largest;
}

std::optional<std::uint64_t> response_to_end(const ResponseMemory& memory) {
  if (memory.total <= memory.limit) return std::nullopt;
  std::optional<std::uint64_t> largest;
  std::size_t largest_bytes = 0;
  for (const auto& [request, held] : memory.responses) {
    if (!held.is_arriving || held.bytes <= largest_bytes) continue;
    largest = request;
    largest_bytes = held.bytes;
  }
  return largest;
}

}  // namespace peridotreach
