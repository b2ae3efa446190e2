#include "peridot-router/unpublished_changes.h"

#include <algorithm>

namespace peridotreach {

void add_changes(UnpublishedChanges& unpublished,
                 const std::vector<ItemChange>& changes,
                 const StoreRevision& table_revision) {
  if (unpublished.keys.empty()) unpublished.from_revision = table_revision;
  for (const ItemChange& change : changes) {
    unpublished.keys.insert(change.key);
    unpublished.revision = std::max(unpublished.revision, change.revision);
  }
}

bool is_news(const UnpublishedChanges& unpublished) {
  return !unpublished.keys.empty() &&
         unpublished.revision > unpublished.from_revision;
}

}  // namespace peridotreach
