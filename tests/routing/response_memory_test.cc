// Tests of the bound on the memory of responses.

#include "libperidotreach/routing/response_memory.h"

#include <catch2/catch.hpp>

namespace peridotreach {
namespace {

ResponseMemory memory_of(std::size_t limit) {
  ResponseMemory memory;
  memory.limit = limit;
  return memory;
}

TEST_CASE("responses that grow without end leave room for the others",
          "[memory]") {
  ResponseMemory memory = memory_of(10000);
  hold_response(memory, 1, 100);
  std::size_t highest = 0;
  for (std::size_t bytes = 0; bytes < 50000; bytes += 50) {
    for (std::uint64_t request = 2; request < 26; ++request) {
      hold_response(memory, request, bytes);
      while (const auto ended = response_to_end(memory)) {
        CHECK(*ended != 1);
        release_response(memory, *ended, false);
      }
      highest = std::max(highest, memory.total);
    }
  }
  CHECK(highest <= memory.limit);
  CHECK(memory.responses.at(1).bytes == 100);
}

TEST_CASE("a response that is being sent to its caller is not ended",
          "[memory]") {
  ResponseMemory memory = memory_of(1000);
  hold_response(memory, 1, 900);
  complete_response(memory, 1, 0);
  release_response(memory, 1, false);
  hold_response(memory, 2, 200);
  CHECK(response_to_end(memory) == std::optional<std::uint64_t>(2));
  release_response(memory, 1, true);
  CHECK(memory.total == 200);
  CHECK_FALSE(response_to_end(memory));
}

TEST_CASE("a finished stream counts until its caller has taken it",
          "[memory]") {
  ResponseMemory memory = memory_of(1000);
  hold_response(memory, 1, 900);
  complete_response(memory, 1, 0);
  // The attempt that received it ends.
  release_response(memory, 1, false);
  CHECK(memory.total == 900);
  release_response(memory, 1, true);
  CHECK(memory == memory_of(1000));
}

TEST_CASE("a caller that does not take its response gives way to others",
          "[memory]") {
  ResponseMemory memory = memory_of(1000);
  hold_response(memory, 1, 900);
  complete_response(memory, 1, 0);
  CHECK_FALSE(untaken_response(memory, kSlowCallerPatience));
  hold_response(memory, 2, 200);
  CHECK_FALSE(untaken_response(memory, kSlowCallerPatience - 1));
  CHECK(untaken_response(memory, kSlowCallerPatience) ==
        std::optional<std::uint64_t>(1));
}

TEST_CASE("the limit follows the memory of the process", "[memory]") {
  CHECK(response_limit(std::size_t{110} << 20U) < std::size_t{14} << 20U);
  CHECK(response_limit(0) > 0);
}

}  // namespace
}  // namespace peridotreach
