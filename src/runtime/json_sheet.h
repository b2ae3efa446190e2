#pragma once

// Reads a sheet from JSON. All faults of form are reported at once.

#include <string>
#include <variant>
#include <vector>

#include "libperidotreach/sheet_fault.h"

namespace peridotreach {

namespace proto {
class Sheet;
}

// Fills `sheet` from `text`. Returns every fault of form; if there is none,
// the sheet's meaning has been checked too.
std::vector<SheetFault> read_sheet(const std::string& text,
                                   proto::Sheet& sheet);

}  // namespace peridotreach
