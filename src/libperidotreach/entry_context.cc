#include "libperidotreach/entry_context.h"

#include <random>

namespace peridotreach {

void record_explanation(const EntryContext& context, std::uint64_t request,
                        const std::string& code, const std::string& detail) {
  context.effects.emplace_back(RecordExplanation{request, code, detail});
}

void count_refusal(const EntryContext& context, const RefusalLabels& line) {
  EntryState& state = context.state;
  const RefusalBucket page{state.self.vm, state.self.incarnation,
                           state.wall_minute};
  record_refusal(state.ledger, page, line);
  const std::uint64_t count = state.ledger.buckets[page][line];
  context.effects.emplace_back(CountRefusal{page, line, count});
}

HomeKey own_home(const EntryState& state) {
  return {state.self.vm, state.self.incarnation};
}

std::uint64_t next_random(EntryState& state) {
  std::minstd_rand engine(static_cast<std::uint32_t>(state.random));
  const std::uint64_t high = engine();
  const std::uint64_t low = engine();
  state.random = (high << 31) ^ low;
  return state.random;
}

}  // namespace peridotreach
