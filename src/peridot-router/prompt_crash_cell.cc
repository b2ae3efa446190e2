#include "peridot-router/prompt_crash_cell.h"

#include <algorithm>

#include "fleet.pb.h"

namespace peridotreach {

void encode_crash(const PromptCrash& crash, Millis now,
                  proto::PromptCrashCell& cell) {
  cell.set_crash(crash.crash);
  for (const std::uint64_t part : crash.parts) cell.add_parts(part);
  cell.set_age_ms(
      static_cast<std::uint32_t>(std::max<Millis>(0, now - crash.at)));
}

PromptCrash decode_crash(const proto::PromptCrashCell& cell, Millis now) {
  return {cell.crash(),
          {cell.parts().begin(), cell.parts().end()},
          now - cell.age_ms()};
}

}  // namespace peridotreach
