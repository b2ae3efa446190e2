#pragma once

// A local copy of a table of the store. Peers exchange these copies. Keys and
// values are those of the store, not decoded.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libperidotreach/routing/store_revision.h"

namespace peridotreach {

// Items by key. The copy contains all changes up to `revision`: a process that
// holds a copy with a revision never needs another one with the same revision.
struct SharedTableState {
  StoreRevision revision;
  std::map<std::string, std::string> items;

  bool operator==(const SharedTableState&) const = default;
};

// A new value of an item; none if the item was removed.
struct ItemChange {
  std::string key;
  std::optional<std::string> value;
  StoreRevision revision;

  bool operator==(const ItemChange&) const = default;
};

// Called for each changed item; `value` is null if the item was removed.
using ItemChangeHandler =
    std::function<void(const std::string& key, const std::string* value)>;

// Returns whether `held` stays in the table in place of `incoming`, which is
// older by its content; `incoming` is null for a removal. A restored store
// returns to older contents.
using ItemPrecedence =
    std::function<bool(const std::string& key, const std::string& held,
                       const std::string* incoming)>;

// How a table is changed.
struct ItemHandlers {
  ItemChangeHandler on_change;
  ItemPrecedence stays;
};

// Applies changes that were received together, in their order. Those up to the
// table's revision are part of it already, possibly in a newer form, and are
// ignored.
void apply_changes(SharedTableState& table,
                   const std::vector<ItemChange>& changes,
                   const ItemHandlers& handlers);

// Applies a complete read of the store that began at `read_revision`, unless
// the table contains newer changes.
void apply_read(SharedTableState& table, const std::vector<ItemChange>& items,
                const StoreRevision& read_revision,
                const ItemHandlers& handlers);

// Replaces the whole table unless `newer` is older than it.
void replace_table(SharedTableState& table, const SharedTableState& newer,
                   const ItemHandlers& handlers);

}  // namespace peridotreach
