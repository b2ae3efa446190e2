#pragma once

// Changes of a shared table that were read from the store and have not been
// sent to peers yet.

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "peridot-router/shared_table.h"

namespace peridotreach {

// The keys that changed after `from_revision` and up to `revision`. The table
// itself may be newer, by changes that peers sent.
struct UnpublishedChanges {
  StoreRevision from_revision;
  StoreRevision revision;
  std::set<std::string> keys;

  bool operator==(const UnpublishedChanges&) const = default;
};

// Adds changes that the store sent when the table had `table_revision`.
void add_changes(UnpublishedChanges& unpublished,
                 const std::vector<ItemChange>& changes,
                 const StoreRevision& table_revision);

// Returns whether peers whose table has the same revision as this process's
// had before can learn something from the changes.
bool is_news(const UnpublishedChanges& unpublished);

}  // namespace peridotreach
