#pragma once

// Output of commands: a table for people, JSON for programs.

#include <string>
#include <vector>

namespace peridotreach {

// Rows under named columns.
struct Table {
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
};

// Prints the table with aligned columns, or as a JSON list of objects.
std::string print_table(const Table& table, bool as_json);

}  // namespace peridotreach
