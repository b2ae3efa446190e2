#pragma once

// Output of commands: an aligned table for people or JSON for programs.

#include <string>
#include <vector>

namespace peridotreach {

// Rows of cells; each row has one cell per column.
struct Table {
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
};

// Returns the table as text with aligned columns, or as a JSON list of objects
// keyed by column name.
std::string format_table(const Table& table, bool as_json);

}  // namespace peridotreach
