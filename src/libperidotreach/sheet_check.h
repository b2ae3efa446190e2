#pragma once

// Checks of the meaning of a sheet. All faults are reported at once.

#include <vector>

#include "libperidotreach/sheet_fault.h"

namespace peridotreach {

namespace proto {
class Sheet;
}

// Returns every fault of `sheet`; empty if it may be applied.
std::vector<SheetFault> check_sheet(const proto::Sheet& sheet);

}  // namespace peridotreach
