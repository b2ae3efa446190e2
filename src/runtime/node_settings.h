#pragma once

// Settings that all processes of an entry VM share.

#include <vector>

#include "runtime/setting.h"

namespace peridotreach {

class Settings;
struct LinkKeys;

// Returns the shared settings.
std::vector<Setting> node_settings();

// Returns the CURVE keys that the settings give.
LinkKeys link_keys(const Settings& settings);

}  // namespace peridotreach
