#pragma once

// A revision of the store. When the store is restored from an older copy, its
// numbers go back and are given out again, and it begins a new era. Revisions
// are ordered by their era first.

#include <compare>
#include <cstdint>
#include <string>

namespace peridotreach {

// A revision; all zeros if nothing is known. Stores that name no era have 0.
struct StoreRevision {
  std::uint64_t era = 0;
  std::uint64_t number = 0;

  auto operator<=>(const StoreRevision&) const = default;
};

// Formats a revision as ERA.NUMBER.
std::string format_revision(const StoreRevision& revision);

}  // namespace peridotreach
