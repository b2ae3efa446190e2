#pragma once

// Changes of the configuration. A sheet, which is the operators' configuration
// of one day, or a correction of one field is applied to the current value, and
// the result replaces it by compare-and-swap. The value records the ids of
// recent changes, so that a retry after a lost response detects that its change
// was already applied and does not apply it twice.

#include <cstddef>
#include <cstdint>
#include <string>

#include "libperidotreach/error.h"

namespace peridotreach {

namespace proto {
class Config;
class Sheet;
}  // namespace proto

// Maximum number of changes recorded in the configuration value.
inline constexpr std::size_t kChangeHistoryLimit = 64;

// Describes a change: its id, who makes it, what it changes and when. `at_ms`
// is in milliseconds since the epoch.
struct ChangeMetadata {
  std::string id;
  std::string operator_name;
  std::string summary;
  std::uint64_t at_ms = 0;

  bool operator==(const ChangeMetadata&) const = default;
};

// A correction of one field. `path` is for example callers/desk-1/share,
// ranks/urgent/floor or drained/ENGINE; `value` is the new value. `expected` is
// the value that the operator saw; if empty, the current value is not checked.
struct Correction {
  std::string path;
  std::string value;
  std::string expected;

  bool operator==(const Correction&) const = default;
};

// Returns whether `config` records the change with `id`.
bool contains_change(const proto::Config& config, const std::string& id);

// Returns the configuration that results from applying `sheet` to `current`.
// Fails with kStale if the sheet's serial is not higher than the current one's.
Result<proto::Config> apply_sheet(const proto::Config& current,
                                  const proto::Sheet& sheet,
                                  const ChangeMetadata& metadata);

// Returns the configuration that results from applying `correction` to
// `current`. Fails with kConflict if the field no longer has the expected
// value.
Result<proto::Config> apply_correction(const proto::Config& current,
                                       const Correction& correction,
                                       const ChangeMetadata& metadata);

// Returns whether `next` may replace `current` in a node, which requires a
// higher revision.
bool supersedes(const proto::Config& next, const proto::Config& current);

}  // namespace peridotreach
