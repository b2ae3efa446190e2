// Tests of the retry budget that the processes of a fleet share.

#include "libperidotreach/routing/shared_retry_budget.h"

#include <catch2/catch.hpp>
#include <numeric>
#include <vector>

namespace peridotreach {
namespace {

// Processes that all repeat as often as they may and hear of each other's
// repeats after `kRepeatNews`.
class Fleet {
 public:
  explicit Fleet(std::size_t size) : budgets_(size), told_(size) {}

  // Sends one request through each process.
  void request() {
    for (SharedRetryBudget& budget : budgets_)
      record_request(budget, allowance, now);
  }

  // Has each process repeat until it may not. Returns how often they did.
  std::size_t repeat() {
    std::size_t taken = 0;
    for (std::size_t i = 0; i < budgets_.size(); ++i) {
      while (try_take_shared_retry(budgets_[i], allowance, others(i), now))
        taken += 1;
    }
    return taken;
  }

  // Lets the news of all repeats arrive.
  void pass() {
    for (std::size_t i = 0; i < budgets_.size(); ++i) {
      told_[i] = retry_counts_at(budgets_[i], allowance, now);
    }
    now += kRetryReportDelay;
  }

  RetryBudgetLimits allowance{0.2, 60, 10 * kSecond};
  Millis now = 1000;

 private:
  PeerRetryCounts others(std::size_t self) const {
    PeerRetryCounts peers;
    peers.process_count = budgets_.size();
    for (std::size_t i = 0; i < told_.size(); ++i) {
      if (i == self) continue;
      peers.counts.requests += told_[i].requests;
      peers.counts.retries += told_[i].retries;
    }
    return peers;
  }

  std::vector<SharedRetryBudget> budgets_;
  std::vector<RetryCounts> told_;
};

TEST_CASE("a fleet keeps to its retry budget in every window", "[routing]") {
  const std::size_t size = GENERATE(1, 2, 7, 61, 88);
  Fleet fleet(size);
  std::vector<std::size_t> taken;
  const int window =
      static_cast<int>(fleet.allowance.window / kRetryReportDelay);
  for (int second = 0; second < 4 * window; ++second) {
    fleet.request();
    taken.push_back(fleet.repeat());
    fleet.pass();
    const auto last =
        taken.end() - std::min<std::ptrdiff_t>(window, std::ssize(taken));
    const auto repeats = std::accumulate(last, taken.end(), std::size_t{0});
    const auto requests =
        size * static_cast<std::size_t>(
                   std::min<std::ptrdiff_t>(window, std::ssize(taken)));
    CHECK(static_cast<double>(repeats) <=
          fleet.allowance.ratio * static_cast<double>(requests) +
              fleet.allowance.slack);
  }
}

TEST_CASE("a process alone uses the whole fleet's budget over a window",
          "[routing]") {
  Fleet fleet(1);
  for (int i = 0; i < 100; ++i) fleet.request();
  CHECK(fleet.repeat() == 72);
  fleet.now += 11 * kSecond;
  CHECK(fleet.repeat() == 54);
}

TEST_CASE("repeats of others leave less to this process", "[routing]") {
  SharedRetryBudget budget;
  const RetryBudgetLimits allowance{0.2, 10, 10 * kSecond};
  CHECK(try_take_shared_retry(budget, allowance, {2, {0, 7}}, 1000));
  CHECK_FALSE(try_take_shared_retry(budget, allowance, {2, {0, 7}}, 1000));
  CHECK(try_take_shared_retry(budget, allowance, {2, {50, 7}}, 1000));
  CHECK_FALSE(try_take_shared_retry(budget, allowance, {2, {0, 8}}, 3000));
}

}  // namespace
}  // namespace peridotreach
