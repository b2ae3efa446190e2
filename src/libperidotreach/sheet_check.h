#pragma once

// Validates the contents of a sheet. All faults are reported at once.

#include <vector>

#include "libperidotreach/sheet_fault.h"

namespace peridotreach {

namespace proto {
class Sheet;
}

// Returns every fault of `sheet`. An empty result means that it may be applied.
std::vector<SheetFault> check_sheet(const proto::Sheet& sheet);

}  // namespace peridotreach
