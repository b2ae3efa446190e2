#pragma once

// Settings shared by all processes of an entry VM.

#include <vector>

#include "runtime/setting.h"

namespace peridotreach {

class Settings;
struct LinkKeys;

// Returns the declarations of the shared settings.
std::vector<Setting> node_settings();

// Returns the CURVE key pair from the settings. Keys that are not set are
// empty.
LinkKeys link_keys(const Settings& settings);

}  // namespace peridotreach
