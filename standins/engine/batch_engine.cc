#include "standins/engine/batch_engine.h"

#include <algorithm>
#include <utility>

namespace peridotreach::standin {
namespace {

// Tokens that one prefix hash covers.
constexpr double kPrefixTokens = 64;

bool before(const std::shared_ptr<Sequence>& a,
            const std::shared_ptr<Sequence>& b) {
  if (a->priority != b->priority) return a->priority < b->priority;
  return a->arrival < b->arrival;
}

}  // namespace

void BatchEngine::submit(const std::shared_ptr<Sequence>& sequence) {
  sequence->arrival = ++arrivals_;
  sequences_[sequence->id] = sequence;
  waiting_.push_back(sequence);
}

void BatchEngine::cancel(Sequence& sequence) {
  if (sequence.finished) return;
  sequence.cancelled = true;
  sequence.finished = true;
  const auto same = [&](const auto& other) { return other.get() == &sequence; };
  if (sequence.running) kv_used_ -= sequence.context();
  sequence.running = false;
  std::erase_if(running_, same);
  std::erase_if(waiting_, same);
}

double BatchEngine::cached_tokens(const Sequence& sequence) const {
  double tokens = 0;
  for (const std::uint64_t prefix : sequence.prefixes) {
    if (!cache_.contains(prefix)) break;
    tokens += kPrefixTokens;
  }
  return std::min<double>(tokens, sequence.prompt_tokens);
}

void BatchEngine::admit() {
  std::sort(waiting_.begin(), waiting_.end(), before);
  while (!waiting_.empty() && running_.size() < shape_.most_batch) {
    const auto& next = waiting_.front();
    if (kv_used_ + next->context() + 1 > shape_.kv_capacity) return;
    next->running = true;
    next->prefill_left = next->context() - cached_tokens(*next);
    kv_used_ += next->context();
    running_.push_back(next);
    cache_prompt(*next);
    waiting_.erase(waiting_.begin());
  }
}

void BatchEngine::cache_prompt(const Sequence& sequence) {
  for (const std::uint64_t prefix : sequence.prefixes) {
    if (!cache_.insert(prefix).second) continue;
    cache_order_.push_back(prefix);
    cache_change_.added.push_back(prefix);
  }
  while (cache_order_.size() > shape_.cached_prefixes) {
    cache_.erase(cache_order_.front());
    cache_change_.removed.push_back(cache_order_.front());
    cache_order_.pop_front();
  }
}

double BatchEngine::begin_step() {
  admit();
  if (running_.empty()) return 0;
  double prefill = shape_.prefill_chunk;
  double done = 0;
  for (const auto& sequence : running_) {
    const double part = std::min(prefill, sequence->prefill_left);
    sequence->prefill_left -= part;
    prefill -= part;
    done += part;
  }
  const auto batch = static_cast<double>(running_.size());
  return shape_.base_ms + shape_.per_sequence_ms * batch +
         shape_.memory_ms * kv_used_ / shape_.kv_capacity +
         done / shape_.prefill_tokens_per_ms;
}

void BatchEngine::preempt_for_memory() {
  while (kv_used_ > shape_.kv_capacity && running_.size() > 1) {
    const auto victim =
        std::max_element(running_.begin(), running_.end(), before);
    kv_used_ -= (*victim)->context();
    (*victim)->running = false;
    waiting_.push_back(*victim);
    running_.erase(victim);
    preemptions_ += 1;
  }
}

std::vector<std::shared_ptr<Sequence>> BatchEngine::end_step() {
  std::vector<std::shared_ptr<Sequence>> advanced;
  const auto batch = running_;
  for (const auto& sequence : batch) {
    if (!sequence->running || sequence->prefill_left > 0) continue;
    sequence->produced += 1;
    kv_used_ += 1;
    advanced.push_back(sequence);
    if (sequence->produced < sequence->length) continue;
    sequence->finished = true;
    sequence->running = false;
    kv_used_ -= sequence->context();
    std::erase(running_, sequence);
  }
  preempt_for_memory();
  return advanced;
}

void BatchEngine::forget(const std::string& id) { sequences_.erase(id); }

std::shared_ptr<Sequence> BatchEngine::find(const std::string& id) const {
  const auto found = sequences_.find(id);
  return found == sequences_.end() ? nullptr : found->second;
}

CacheChange BatchEngine::take_cache_changes() {
  return std::exchange(cache_change_, {});
}

}  // namespace peridotreach::standin
