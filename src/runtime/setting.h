#pragma once

// Declaration of a program's setting.

#include <string>

namespace peridotreach {

// Type of a setting's value. A number is a non-negative integer, a switch is
// "on" or "off", and a secret is text that is hidden when settings are printed.
enum class SettingKind { kText, kNumber, kSecret, kSwitch };

// A setting is given as the flag --`name` or as the environment variable
// PERIDOT_NAME. Required settings have no default value.
struct Setting {
  std::string name;
  SettingKind kind = SettingKind::kText;
  std::string default_value;
  bool required = false;
  std::string help;
};

}  // namespace peridotreach
