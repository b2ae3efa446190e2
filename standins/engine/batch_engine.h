#pragma once

// Model of a continuous-batching engine: step time grows with the batch and
// with occupied memory, memory fills while decoding, and generations are
// preempted by priority and recomputed. No I/O; time is passed in.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace peridotreach::standin {

// Sizes and speeds of an engine.
struct EngineShape {
  double kv_capacity = 24000;
  double base_ms = 10;
  double per_sequence_ms = 1.1;
  double memory_ms = 6;
  double prefill_tokens_per_ms = 20;
  double prefill_chunk = 512;
  std::size_t most_batch = 64;
  std::size_t cached_prefixes = 64;
};

// One generation in the engine.
struct Sequence {
  std::string id;
  std::string model;
  std::vector<std::uint64_t> prefixes;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t priority = 0;
  std::uint32_t produced = 0;
  std::uint32_t length = 0;
  double prefill_left = 0;
  std::uint64_t arrival = 0;
  bool running = false;
  bool finished = false;
  bool cancelled = false;

  double context() const { return prompt_tokens + produced; }
};

// Prefixes that entered or left the cache since the last look.
struct CacheChange {
  std::vector<std::uint64_t> added;
  std::vector<std::uint64_t> removed;
};

// The engine.
class BatchEngine {
 public:
  explicit BatchEngine(EngineShape shape) : shape_(shape) {}

  // Queues a generation.
  void submit(const std::shared_ptr<Sequence>& sequence);

  // Ends a generation early.
  void cancel(Sequence& sequence);

  // Starts the next step. Returns its duration in milliseconds, 0 if there is
  // nothing to run.
  double begin_step();

  // Ends the step: every running generation gains a token. Returns those
  // that did.
  std::vector<std::shared_ptr<Sequence>> end_step();

  // Removes a finished generation from memory.
  void forget(const std::string& id);

  std::shared_ptr<Sequence> find(const std::string& id) const;
  double kv_used() const { return kv_used_; }
  double kv_capacity() const { return shape_.kv_capacity; }
  std::size_t running() const { return running_.size(); }
  std::size_t waiting() const { return waiting_.size(); }
  std::uint64_t preemptions() const { return preemptions_; }
  CacheChange take_cache_changes();

 private:
  void admit();
  void preempt_for_memory();
  void cache_prompt(const Sequence& sequence);
  double cached_tokens(const Sequence& sequence) const;

  EngineShape shape_;
  std::map<std::string, std::shared_ptr<Sequence>> sequences_;
  std::vector<std::shared_ptr<Sequence>> running_;
  std::vector<std::shared_ptr<Sequence>> waiting_;
  std::deque<std::uint64_t> cache_order_;
  std::set<std::uint64_t> cache_;
  CacheChange cache_change_;
  double kv_used_ = 0;
  std::uint64_t arrivals_ = 0;
  std::uint64_t preemptions_ = 0;
};

}  // namespace peridotreach::standin
