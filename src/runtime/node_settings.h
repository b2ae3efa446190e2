#pragma once

// Settings that all processes of an entry VM share.

#include <vector>

#include "runtime/setting.h"

namespace peridotreach {

// Returns the shared settings.
std::vector<Setting> node_settings();

}  // namespace peridotreach
