#include "peridotctl/table.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace peridotreach {
namespace {

std::string to_json_list(const Table& table) {
  boost::json::array list;
  for (const auto& row : table.rows) {
    boost::json::object object;
    for (std::size_t i = 0; i < row.size(); ++i) {
      object[table.columns[i]] = row[i];
    }
    list.push_back(std::move(object));
  }
  return boost::json::serialize(list) + "\n";
}

void append_line(const std::vector<std::string>& cells,
                 const std::vector<std::size_t>& widths, std::string& text) {
  std::string line;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    line += cells[i];
    if (i + 1 < cells.size()) {
      line += std::string(widths[i] - cells[i].size() + 2, ' ');
    }
  }
  text += line + "\n";
}

}  // namespace

std::string format_table(const Table& table, bool as_json) {
  if (as_json) return to_json_list(table);
  std::vector<std::size_t> widths;
  for (std::size_t i = 0; i < table.columns.size(); ++i) {
    std::size_t width = table.columns[i].size();
    for (const auto& row : table.rows) width = std::max(width, row[i].size());
    widths.push_back(width);
  }
  std::string text;
  append_line(table.columns, widths, text);
  for (const auto& row : table.rows) append_line(row, widths, text);
  return text;
}

}  // namespace peridotreach
