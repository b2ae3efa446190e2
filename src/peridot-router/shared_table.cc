#include "peridot-router/shared_table.h"

#include <algorithm>
#include <utility>

namespace peridotreach {
namespace {

void update_item(SharedTableState& table, const ItemChange& change,
                 const ItemChangeHandler& on_change) {
  table.revision = std::max(table.revision, change.revision);
  if (!change.value) {
    if (table.items.erase(change.key) > 0) on_change(change.key, nullptr);
    return;
  }
  const auto found = table.items.find(change.key);
  if (found != table.items.end() && found->second == *change.value) return;
  table.items[change.key] = *change.value;
  on_change(change.key, &*change.value);
}

}  // namespace

void apply_changes(SharedTableState& table,
                   const std::vector<ItemChange>& changes,
                   const ItemChangeHandler& on_change) {
  const std::uint64_t known_revision = table.revision;
  for (const ItemChange& change : changes) {
    if (change.revision <= known_revision) continue;
    update_item(table, change, on_change);
  }
}

void apply_read(SharedTableState& table, const std::vector<ItemChange>& items,
                std::uint64_t read_revision,
                const ItemChangeHandler& on_change) {
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
  if (has_removed) read.revision = read_revision;
  replace_table(table, read, on_change);
}

void replace_table(SharedTableState& table, const SharedTableState& newer,
                   const ItemChangeHandler& on_change) {
  if (newer.revision < table.revision) return;
  std::vector<std::string> removed;
  for (const auto& [key, value] : table.items) {
    if (!newer.items.contains(key)) removed.push_back(key);
  }
  for (const std::string& key : removed)
    update_item(table, {key, std::nullopt, newer.revision}, on_change);
  for (const auto& [key, value] : newer.items)
    update_item(table, {key, value, newer.revision}, on_change);
  table.revision = newer.revision;
}

}  // namespace peridotreach
