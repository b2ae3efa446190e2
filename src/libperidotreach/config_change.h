#pragma once

// Changes of the configuration: a sheet or a correction becomes the next
// value by compare-and-swap. Each change has an id that the value remembers,
// so a retry after a lost answer finds itself and is not applied twice.

#include <cstddef>
#include <cstdint>
#include <string>

#include "libperidotreach/error.h"

namespace peridotreach {

namespace proto {
class Config;
class Sheet;
}  // namespace proto

// Changes remembered in the value.
inline constexpr std::size_t kChangeHistoryLimit = 64;

// Who changes what, and when (milliseconds since the epoch).
struct ChangeMetadata {
  std::string id;
  std::string operator_name;
  std::string summary;
  std::uint64_t at_ms = 0;

  bool operator==(const ChangeMetadata&) const = default;
};

// A correction of one field: `path` such as callers/pernik-lab/share, ranks/
// urgent/floor or drained/ENGINE; `value` is its new value. `expected` is the
// value the operator saw, empty for none.
struct Correction {
  std::string path;
  std::string value;
  std::string expected;

  bool operator==(const Correction&) const = default;
};

// Returns whether `config` already holds the change with `id`.
bool contains_change(const proto::Config& config, const std::string& id);

// Returns the value that follows `current` when `sheet` is applied. kStale if
// the sheet's serial is not higher than the current one's.
Result<proto::Config> apply_sheet(const proto::Config& current,
                                  const proto::Sheet& sheet,
                                  const ChangeMetadata& note);

// Returns the value that follows `current` when `correction` is applied.
// kConflict if the field no longer has the expected value.
Result<proto::Config> apply_correction(const proto::Config& current,
                                       const Correction& correction,
                                       const ChangeMetadata& note);

// Returns whether `next` may replace `held` in a node: only upwards.
bool supersedes(const proto::Config& next, const proto::Config& held);

}  // namespace peridotreach
