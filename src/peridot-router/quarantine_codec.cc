#include "peridot-router/quarantine_codec.h"

#include <algorithm>

#include "fleet.pb.h"
#include "peridot-router/prompt_crash_cell.h"

namespace peridotreach {

std::string encode_quarantine(const std::vector<PromptCrash>& crashes,
                              const ClockReading& now) {
  proto::StoredQuarantine stored;
  stored.set_written_at_ms(now.wall_ms);
  for (const PromptCrash& crash : crashes)
    encode_crash(crash, now.monotonic, *stored.add_crashes());
  return stored.SerializeAsString();
}

Result<PromptReport> decode_quarantine(const std::string& stored,
                                       const ClockReading& now) {
  proto::StoredQuarantine message;
  if (!message.ParseFromString(stored)) {
    return Error{ErrorKind::kInvalidInput,
                 "the stored quarantine of prompts cannot be read",
                 "remove its key from the store"};
  }
  const auto elapsed = static_cast<std::int64_t>(now.wall_ms) -
                       static_cast<std::int64_t>(message.written_at_ms());
  const Millis written_at = now.monotonic - std::max<std::int64_t>(0, elapsed);
  PromptReport report;
  for (const proto::PromptCrashCell& cell : message.crashes())
    report.crashes.push_back(decode_crash(cell, written_at));
  return report;
}

}  // namespace peridotreach
