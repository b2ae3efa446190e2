// Tests of the policy modules: length, memory and step time models, fair
// queueing between callers, rank order, endpoint health, quarantine, retry
// budget and store rate limiter.

#include <catch2/catch.hpp>

#include "libperidotreach/caller_counters.h"
#include "libperidotreach/endpoint_health.h"
#include "libperidotreach/length_model.h"
#include "libperidotreach/memory_projection.h"
#include "libperidotreach/quarantine.h"
#include "libperidotreach/rank_order.h"
#include "libperidotreach/retry_budget.h"
#include "libperidotreach/step_time_model.h"
#include "libperidotreach/store_rate_limiter.h"

namespace peridotreach {
namespace {

TEST_CASE("length model learns the output lengths of each caller",
          "[lengths]") {
  LengthModel model;
  for (int i = 0; i < 200; ++i) observe_length(model, "bulk", "short", 20);
  for (int i = 0; i < 200; ++i) observe_length(model, "bulk", "long", 2000);
  const auto short_curve = survival_curve(model, "bulk", "short");
  const auto long_curve = survival_curve(model, "bulk", "long");
  CHECK(mean_remaining(short_curve, 0) * 3 < mean_remaining(long_curve, 0));
  CHECK(survival_at(short_curve, 64) < 0.2);
  CHECK(survival_at(long_curve, 1000) > 0.7);
}

TEST_CASE("a generation longer than all observed ones is expected to continue",
          "[lengths]") {
  LengthModel model;
  for (int i = 0; i < 500; ++i) observe_length(model, "bulk", "c", 20);
  const auto curve = survival_curve(model, "bulk", "c");
  CHECK(mean_remaining(curve, 100000) > 1000);
}

TEST_CASE("survival probability does not increase with length", "[lengths]") {
  LengthModel model;
  for (std::uint32_t i = 1; i < 3000; i += 7) {
    observe_length(model, "r", "c", i);
  }
  const auto curve = survival_curve(model, "r", "c");
  for (double tokens = 1; tokens < 60000; tokens *= 1.3) {
    CHECK(survival_at(curve, tokens) >= survival_at(curve, tokens * 1.3));
  }
}

TEST_CASE("projected memory peak exceeds the current occupancy", "[memory]") {
  LengthModel model;
  for (int i = 0; i < 100; ++i) observe_length(model, "r", "c", 1000);
  const auto curve = survival_curve(model, "r", "c");
  MemoryProjection projection;
  for (int i = 0; i < 10; ++i) add_generation(projection, curve, 100, 0);
  CHECK(projection.mean.at(0) == Approx(1000));
  CHECK(projected_peak(projection, 1) > 4000);
  CHECK(projected_peak(projection, 2) > projected_peak(projection, 1));
}

TEST_CASE("step time model finds the largest batch within a target",
          "[steps]") {
  StepTimeModel model;
  for (int round = 0; round < 40; ++round) {
    for (double batch = 1; batch <= 20; batch += 1) {
      observe_step_time(model, batch, 20 + 2 * batch);
    }
  }
  CHECK(predicted_step_ms(model, 10) == Approx(40).epsilon(0.1));
  CHECK(batch_limit(model, 47) == Approx(13.5).epsilon(0.15));
}

TEST_CASE("the caller with the least service per share is next", "[shares]") {
  CallerCounters counters;
  charge(counters, "a", 100, 1);
  charge(counters, "b", 100, 4);
  CHECK(next_caller(counters, {"a", "b"}) == "b");
  charge(counters, "b", 400, 4);
  CHECK(next_caller(counters, {"a", "b"}) == "a");
}

TEST_CASE("an idle caller does not accumulate unused service", "[shares]") {
  CallerCounters counters;
  charge(counters, "busy", 5000, 1);
  advance_virtual_time(counters, "busy");
  raise_to_virtual_time(counters, "idle");
  charge(counters, "idle", 10, 1);
  CHECK(next_caller(counters, {"busy", "idle"}) == "busy");
}

TEST_CASE("a waiting rank below its floor goes first", "[ranks]") {
  const RankDemand urgent{0, 0, 900, 9, true};
  const RankDemand below{1, 0.2, 10, 0, true};
  CHECK(rank_order({urgent, below}) == std::vector<std::size_t>{1, 0});
  const RankDemand served{1, 0.2, 400, 4, true};
  CHECK(rank_order({urgent, served}) == std::vector<std::size_t>{0, 1});
  const RankDemand idle{1, 0.2, 0, 0, false};
  CHECK(rank_order({urgent, idle}) == std::vector<std::size_t>{0});
}

TEST_CASE("ejection time doubles and one probe is allowed at a time",
          "[health]") {
  EndpointHealth health;
  health.reachable = true;
  eject(health, 1000);
  CHECK(availability(health, 1500) == Availability::kUnavailable);
  CHECK(availability(health, 3000) == Availability::kProbeOnly);
  health.probing = true;
  CHECK(availability(health, 3000) == Availability::kUnavailable);
  record_success(health);
  CHECK(availability(health, 3000) == Availability::kAvailable);
  eject(health, 3000);
  eject(health, 3000);
  CHECK(availability(health, 6999) == Availability::kUnavailable);
}

TEST_CASE("two crashes quarantine a request, finishing or expiry clears it",
          "[quarantine]") {
  Quarantine quarantine;
  record_crash(quarantine, 7, 0);
  record_crash(quarantine, 8, 0);
  clear_suspect(quarantine, 8);
  record_crash(quarantine, 7, 10);
  CHECK(crash_count(quarantine, 7, 20) == kQuarantineCrashes);
  CHECK(crash_count(quarantine, 8, 20) == 0);
  CHECK(crash_count(quarantine, 7, 20 + kSuspectLifetime) == 0);
}

TEST_CASE("retries are limited to a share of first attempts", "[retries]") {
  RetryBudget budget;
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    record_first_attempt(budget);
    if (try_take_retry(budget)) taken += 1;
  }
  CHECK(taken <= 110);
  CHECK(taken >= 90);
}

TEST_CASE("retry delays stay below the backoff bound", "[retries]") {
  for (std::uint32_t attempt = 1; attempt < 20; ++attempt) {
    for (std::uint64_t random = 1; random < 1u << 20u; random *= 3) {
      const Millis delay = retry_delay(attempt, random);
      CHECK(delay >= 0);
      CHECK(delay < 50 * 32);
    }
  }
}

TEST_CASE("deferrable store calls leave capacity for leases", "[store]") {
  StoreRateLimiter budget;
  budget.calls_per_second = 1;
  budget.burst_calls = 10;
  budget.available_calls = 10;
  int calls = 0;
  while (try_take_call(budget, StorePriority::kLedger, 0)) calls += 1;
  CHECK(calls == 5);
  CHECK_FALSE(try_take_call(budget, StorePriority::kLedger, 0));
  CHECK(try_take_call(budget, StorePriority::kLease, 0));
  CHECK(delay_until_call(budget, StorePriority::kLedger, 0) > 0);
}

}  // namespace
}  // namespace peridotreach
