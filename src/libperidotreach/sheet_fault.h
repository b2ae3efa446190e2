#pragma once

// A validation error of a sheet.

#include <string>

namespace peridotreach {

// The path of the faulty field, what is wrong with it and how to correct it.
struct SheetFault {
  std::string path;
  std::string problem;
  std::string remedy;

  bool operator==(const SheetFault&) const = default;
};

}  // namespace peridotreach
