#pragma once

// One setting of a program.

#include <string>

namespace peridotreach {

// What a setting's text must be.
enum class SettingKind { kText, kNumber, kSecret, kSwitch };

// A setting: the flag --`name`, the environment variable PERIDOT_NAME, its
// default and its help. Required ones have no default.
struct Setting {
  std::string name;
  SettingKind kind = SettingKind::kText;
  std::string fallback;
  bool required = false;
  std::string help;
};

}  // namespace peridotreach
