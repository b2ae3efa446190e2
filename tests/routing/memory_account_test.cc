// Property tests of the account of a process's memory.

#include "libperidotreach/routing/memory_account.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <vector>

namespace peridotreach {
namespace {

constexpr std::size_t kMegabyte = 1U << 20U;
constexpr std::size_t kLargest = 4 * kMegabyte;

MemoryAccount account_of(std::size_t process_limit) {
  MemoryAccount account;
  account.shares = memory_shares(process_limit, kLargest);
  return account;
}

std::size_t request_limit(const MemoryAccount& account) {
  return account.shares.large_requests + account.shares.small_requests;
}

// Asks until the memory is granted, ending those who give way. Returns whether
// it was granted.
bool obtain(MemoryAccount& account, std::uint64_t holder, std::size_t bytes,
            Millis now) {
  const MemoryAnswer answer = hold_request(account, holder, bytes, now);
  for (const std::uint64_t ended : answer.to_end)
    release_request(account, ended);
  return answer.is_granted ||
         hold_request(account, holder, bytes, now).is_granted;
}

TEST_CASE("no sequence of events exceeds the limit or starves a small request",
          "[memory]") {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    const auto below = [&](std::size_t end) { return random() % end; };
    MemoryAccount account = account_of(110 * kMegabyte);
    std::vector<std::uint64_t> ending;
    Millis now = 0;
    for (int step = 0; step < 4000; ++step) {
      now += static_cast<Millis>(below(100));
      const std::uint64_t holder = 1 + below(60);
      const auto held = account.requests.find(holder);
      const bool is_read =
          held != account.requests.end() && !held->second.is_reading;
      const std::size_t choice = below(10);
      if (choice == 0) release_request(account, holder);
      if (choice == 1) complete_request(account, holder);
      if (choice == 2) {
        for (const std::uint64_t ended : ending)
          release_request(account, ended);
        ending.clear();
      }
      if (choice > 2 && !is_read) {
        const MemoryAnswer answer =
            hold_request(account, holder, below(kLargest), now);
        ending.insert(ending.end(), answer.to_end.begin(), answer.to_end.end());
      }
      std::size_t ending_bytes = 0;
      for (const auto& [number, entry] : account.requests)
        ending_bytes += entry.is_ending ? entry.bytes : 0;
      REQUIRE(account.ending_bytes == ending_bytes);
      REQUIRE(account.request_bytes <= request_limit(account));
      REQUIRE(account.large_request_bytes <= account.shares.large_requests);
    }
    CHECK(obtain(account, 1000 + seed, kSmallRequestBytes, now));
  }
}

TEST_CASE("small requests are admitted beside large ones that stay open",
          "[memory]") {
  MemoryAccount account = account_of(110 * kMegabyte);
  std::uint64_t holder = 1;
  while (hold_request(account, holder, kLargest, 0).is_granted)
    complete_request(account, holder++);
  const std::size_t room = account.shares.small_requests / kSmallRequestBytes;
  for (std::size_t i = 0; i < room; ++i) {
    const MemoryAnswer answer =
        hold_request(account, 1000 + i, kSmallRequestBytes, 0);
    REQUIRE(answer == MemoryAnswer{true, {}});
  }
  // Small requests that are only begun give way to further ones.
  CHECK(obtain(account, 9000, kSmallRequestBytes, 0));
}

TEST_CASE("those who hold much for long without progress go first",
          "[memory]") {
  MemoryAccount account = account_of(110 * kMegabyte);
  std::uint64_t last = 1;
  while (hold_request(account, last, kLargest, 0).is_granted) ++last;
  const Millis later = 2 * kStalledAfter;
  for (std::uint64_t holder = 1; holder < last; ++holder) {
    if (holder != 3) hold_request(account, holder, kLargest, later);
  }
  const MemoryAnswer answer = hold_request(account, last, kLargest, later);
  CHECK(answer.to_end == std::vector<std::uint64_t>{3});
}

TEST_CASE("of large requests that wait for each other one gets through",
          "[memory]") {
  MemoryAccount account = account_of(40 * kMegabyte);
  constexpr Millis kInterval = 40;
  constexpr Millis kPatience = 3 * kSecond;
  std::map<std::uint64_t, std::size_t> wanted;
  for (std::uint64_t holder = 1; holder <= 10; ++holder)
    wanted[holder] = kMegabyte;
  std::size_t served = 0;
  for (Millis now = 0; now < kPatience; now += kInterval) {
    for (std::uint64_t holder = 1; holder <= 10; ++holder) {
      if (!wanted.contains(holder)) continue;
      const MemoryAnswer answer =
          hold_request(account, holder, wanted.at(holder), now);
      for (const std::uint64_t ended : answer.to_end) {
        CHECK(ended > holder);
        release_request(account, ended);
        wanted.erase(ended);
      }
      if (!answer.is_granted) continue;
      wanted.at(holder) += kMegabyte;
      if (wanted.at(holder) <= kLargest) continue;
      release_request(account, holder);
      wanted.erase(holder);
      ++served;
    }
  }
  CHECK(served > 0);
}

TEST_CASE("the shares leave room in the process and fit its largest request",
          "[memory]") {
  const std::size_t limit = 88 * kMegabyte;
  const MemoryShares shares = memory_shares(limit, kLargest);
  CHECK(shares.large_requests + shares.small_requests + shares.responses +
            shares.connections <=
        limit - limit / 4);
  CHECK(memory_shares(kMegabyte, kLargest).large_requests >= kLargest);
  CHECK(memory_shares(0, kLargest).small_requests > 0);
  CHECK(caller_socket_limit(200) == 150);
  CHECK(caller_socket_limit(0) == 0);
  CHECK(caller_socket_limit(200) + 2 * query_socket_limit(200) < 200);
}

}  // namespace
}  // namespace peridotreach
