#pragma once

// Reads a configuration sheet from JSON.

#include <string>
#include <variant>
#include <vector>

#include "libperidotreach/sheet_fault.h"

namespace peridotreach {

namespace proto {
class Sheet;
}

// Parses `text` into `sheet`. Reports all structural faults (unknown fields and
// wrong types) together; if there are none, returns the faults that the check
// of the sheet's values finds.
std::vector<SheetFault> read_sheet(const std::string& text,
                                   proto::Sheet& sheet);

}  // namespace peridotreach
