#pragma once

// A table that the store holds and peers hand to each other, item by item as
// the store spells them.

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace peridotreach {

// Items by key and the revision of the newest change in them.
struct SharedTableState {
  std::uint64_t revision = 0;
  std::map<std::string, std::string> items;

  bool operator==(const SharedTableState&) const = default;
};

// Tells about a changed item; `value` is null if it was removed.
using ItemChangeHandler =
    std::function<void(const std::string& key, const std::string* value)>;

// Takes one change.
void update_item(SharedTableState& table, const std::string& key,
                 const std::string* value, std::uint64_t revision,
                 const ItemChangeHandler& changed);

// Takes a whole table unless it is older.
void replace_table(SharedTableState& table, const SharedTableState& newer,
                   const ItemChangeHandler& changed);

}  // namespace peridotreach
