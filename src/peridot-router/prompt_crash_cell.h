#pragma once

// The form in which crashes on prompts are sent to peers and stored.

#include "libperidotreach/routing/prompt_quarantine.h"

namespace peridotreach {

namespace proto {
class PromptCrashCell;
}  // namespace proto

// Encodes a crash with its age at `now`.
void encode_crash(const PromptCrash& crash, Millis now,
                  proto::PromptCrashCell& cell);

// Decodes a crash whose age counts from `now`.
PromptCrash decode_crash(const proto::PromptCrashCell& cell, Millis now);

}  // namespace peridotreach
