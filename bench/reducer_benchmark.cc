// Microbenchmarks of single steps of the entry and dispatch reducers.

#include <benchmark/benchmark.h>

#include "tests/samples.h"

namespace peridotreach {
namespace {

// Relays one token through the entry reducer. The argument is the number of
// open streams.
void relay_token(benchmark::State& state) {
  samples::EntryHarness entry;
  const auto open_streams = static_cast<std::uint64_t>(state.range(0));
  std::uint64_t request = 0;
  for (std::uint64_t i = 0; i < open_streams; ++i) {
    request = entry.start_generation();
    entry.apply(EndpointConnected{request, 1, 5});
    entry.deliver(request, 1, 0, 1);
  }
  std::int64_t next = 1;
  for (auto _ : state) {
    benchmark::DoNotOptimize(entry.deliver(request, 1, next, next + 1));
    next += 1;
  }
}
BENCHMARK(relay_token)->Arg(1)->Arg(100)->Arg(1000);

// Runs one tick of the entry reducer. The argument is the number of open
// streams.
void tick_entry(benchmark::State& state) {
  samples::EntryHarness entry;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    const auto request = entry.start_generation();
    entry.apply(EndpointConnected{request, 1, 5});
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(entry.apply(EntryTicked{3}));
  }
}
BENCHMARK(tick_entry)->Arg(10)->Arg(100)->Arg(1000);

// Enqueues, grants and finishes one request in the dispatch reducer. The
// argument is the number of endpoints.
void dispatch_request(benchmark::State& state) {
  samples::DispatcherHarness dispatcher;
  dispatcher.start(static_cast<int>(state.range(0)), samples::config());
  std::uint64_t number = 0;
  for (auto _ : state) {
    const auto request =
        samples::request(++number, "small", "urgent", dispatcher.now);
    const auto effects = dispatcher.enqueue(request);
    const auto grants = samples::effects_of<IssueGrant>(effects);
    dispatcher.progress(request, grants.at(0).endpoint, 100,
                        RunState::kFinished);
  }
}
BENCHMARK(dispatch_request)->Arg(3)->Arg(12)->Arg(24);

// Refuses one request under overload: the queue is full and no endpoint has
// capacity left. The argument is the number of endpoints.
void dispatch_flood(benchmark::State& state) {
  samples::DispatcherHarness dispatcher;
  dispatcher.start(static_cast<int>(state.range(0)), samples::config());
  std::uint64_t number = 0;
  for (; number < 3000; ++number) {
    dispatcher.enqueue(
        samples::request(number + 1, "large", "bulk", dispatcher.now));
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(dispatcher.enqueue(
        samples::request(++number, "large", "bulk", dispatcher.now)));
  }
}
BENCHMARK(dispatch_flood)->Arg(3)->Arg(12)->Arg(24);

}  // namespace
}  // namespace peridotreach

BENCHMARK_MAIN();
