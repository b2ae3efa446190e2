#include "peridot-router/shared_table.h"

#include <algorithm>
#include <utility>

namespace peridotreach {
namespace {

void update_item(SharedTableState& table, const ItemChange& change,
                 const ItemHandlers& handlers) {
  table.revision = std::max(table.revision, change.revision);
  const auto held = table.items.find(change.key);
  const bool is_held = held != table.items.end();
  const std::string* incoming = change.value ? &*change.value : nullptr;
  if (!is_held && incoming == nullptr) return;
  if (is_held && incoming != nullptr && held->second == *incoming) return;
  if (is_held && handlers.stays(change.key, held->second, incoming)) return;
  if (incoming == nullptr) {
    table.items.erase(held);
  } else {
    table.items[change.key] = *incoming;
  }
  handlers.on_change(change.key, incoming);
}

}  // namespace

void apply_changes(SharedTableState& table,
                   const std::vector<ItemChange>& changes,
                   const ItemHandlers& handlers) {
  const StoreRevision known_revision = table.revision;
  for (const ItemChange& change : changes) {
    if (change.revision <= known_revision) continue;
    update_item(table, change, handlers);
  }
}

void apply_read(SharedTableState& table, const std::vector<ItemChange>& items,
                const StoreRevision& read_revision,
                const ItemHandlers& handlers) {
  if (table.revision > read_revision) return;
  SharedTableState read;
  read.revision = table.revision;
  for (const ItemChange& item : items) {
    if (item.value) read.items[item.key] = *item.value;
    // Pages are read one after another. An item of a later page may be newer
    // than changes that an earlier one does not contain yet.
    read.revision =
        std::max(read.revision, std::min(item.revision, read_revision));
  }
  const bool has_removed = std::any_of(
      table.items.begin(), table.items.end(),
      [&](const auto& item) { return !read.items.contains(item.first); });
  // All items of a restored store have been read, whatever their revisions.
  const bool is_new_era = read_revision.era > table.revision.era;
  if (has_removed || is_new_era) read.revision = read_revision;
  replace_table(table, read, handlers);
}

void replace_table(SharedTableState& table, const SharedTableState& newer,
                   const ItemHandlers& handlers) {
  if (newer.revision < table.revision) return;
  std::vector<std::string> removed;
  for (const auto& [key, value] : table.items) {
    if (!newer.items.contains(key)) removed.push_back(key);
  }
  for (const std::string& key : removed)
    update_item(table, {key, std::nullopt, newer.revision}, handlers);
  for (const auto& [key, value] : newer.items)
    update_item(table, {key, value, newer.revision}, handlers);
  table.revision = newer.revision;
}

}  // namespace peridotreach
