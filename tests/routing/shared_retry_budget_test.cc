// Tests of the retry budget that the processes of a fleet share.

#include "libperidotreach/routing/shared_retry_budget.h"

#include <catch2/catch.hpp>
#include <numeric>
#include <vector>

namespace peridotreach {
namespace {

// Processes that retry as often as they may and receive each other's reports
// after `kRetryReportDelay`.
class Fleet {
 public:
  explicit Fleet(std::size_t size) : budgets_(size), reported_(size) {}

  // Sends one request through each process.
  void send_requests() {
    for (SharedRetryBudget& budget : budgets_)
      record_request(budget, limits, now);
  }

  // Lets each process retry until the budget is used up. Returns the total.
  std::size_t retry_until_refused() {
    std::size_t retries_taken = 0;
    for (std::size_t i = 0; i < budgets_.size(); ++i) {
      while (try_take_shared_retry(budgets_[i], limits, peer_counts(i), now))
        retries_taken += 1;
    }
    return retries_taken;
  }

  // Delivers the reports of all processes.
  void exchange_reports() {
    for (std::size_t i = 0; i < budgets_.size(); ++i) {
      reported_[i] = retry_counts_at(budgets_[i], limits, now);
    }
    now += kRetryReportDelay;
  }

  RetryBudgetLimits limits{0.2, 60, 10 * kSecond};
  Millis now = 1000;

 private:
  PeerRetryCounts peer_counts(std::size_t self) const {
    PeerRetryCounts peers;
    peers.process_count = budgets_.size();
    for (std::size_t i = 0; i < reported_.size(); ++i) {
      if (i == self) continue;
      peers.counts.requests += reported_[i].requests;
      peers.counts.retries += reported_[i].retries;
    }
    return peers;
  }

  std::vector<SharedRetryBudget> budgets_;
  std::vector<RetryCounts> reported_;
};

TEST_CASE("a fleet stays within its retry budget in every window",
          "[routing]") {
  const std::size_t size = GENERATE(1, 2, 7, 61, 88);
  Fleet fleet(size);
  std::vector<std::size_t> retries_taken;
  const int window = static_cast<int>(fleet.limits.window / kRetryReportDelay);
  for (int second = 0; second < 4 * window; ++second) {
    fleet.send_requests();
    retries_taken.push_back(fleet.retry_until_refused());
    fleet.exchange_reports();
    const auto window_begin =
        retries_taken.end() -
        std::min<std::ptrdiff_t>(window, std::ssize(retries_taken));
    const auto retries =
        std::accumulate(window_begin, retries_taken.end(), std::size_t{0});
    const auto requests =
        size * static_cast<std::size_t>(
                   std::min<std::ptrdiff_t>(window, std::ssize(retries_taken)));
    CHECK(static_cast<double>(retries) <=
          fleet.limits.ratio * static_cast<double>(requests) +
              fleet.limits.slack);
  }
}

TEST_CASE("a single process may use the whole budget of a window",
          "[routing]") {
  Fleet fleet(1);
  for (int i = 0; i < 100; ++i) fleet.send_requests();
  CHECK(fleet.retry_until_refused() == 72);
  fleet.now += 11 * kSecond;
  CHECK(fleet.retry_until_refused() == 54);
}

TEST_CASE("retries of other processes reduce the local budget", "[routing]") {
  SharedRetryBudget budget;
  const RetryBudgetLimits limits{0.2, 10, 10 * kSecond};
  CHECK(try_take_shared_retry(budget, limits, {2, {0, 7}}, 1000));
  CHECK_FALSE(try_take_shared_retry(budget, limits, {2, {0, 7}}, 1000));
  CHECK(try_take_shared_retry(budget, limits, {2, {50, 7}}, 1000));
  CHECK_FALSE(try_take_shared_retry(budget, limits, {2, {0, 8}}, 3000));
}

}  // namespace
}  // namespace peridotreach
