#pragma once

// A local copy of a table of the store. Peers exchange these copies. Keys and
// values are those of the store, not decoded.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotreach {

// Items by key. The copy contains all changes up to `revision`: a process that
// holds a copy with a revision never needs another one with the same revision.
struct SharedTableState {
  std::uint64_t revision = 0;
  std::map<std::string, std::string> items;

  bool operator==(const SharedTableState&) const = default;
};

// A new value of an item; none if the item was removed.
struct ItemChange {
  std::string key;
  std::optional<std::string> value;
  std::uint64_t revision = 0;

  bool operator==(const ItemChange&) const = default;
};

// Called for each changed item; `value` is null if the item was removed.
using ItemChangeHandler =
    std::function<void(const std::string& key, const std::string* value)>;

// Applies changes that were received together, in their order. Those up to the
// table's revision are part of it already, possibly in a newer form, and are
// ignored.
void apply_changes(SharedTableState& table,
                   const std::vector<ItemChange>& changes,
                   const ItemChangeHandler& on_change);

// Applies a complete read of the store that began at `read_revision`, unless
// the table contains newer changes.
void apply_read(SharedTableState& table, const std::vector<ItemChange>& items,
                std::uint64_t read_revision,
                const ItemChangeHandler& on_change);

// Replaces the whole table unless `newer` is older than it.
void replace_table(SharedTableState& table, const SharedTableState& newer,
                   const ItemChangeHandler& on_change);

}  // namespace peridotreach
