#pragma once

// A fault found in a sheet.

#include <string>

namespace peridotreach {

// Where the fault is, what is wrong and what to do about it.
struct SheetFault {
  std::string path;
  std::string problem;
  std::string remedy;

  bool operator==(const SheetFault&) const = default;
};

}  // namespace peridotreach
