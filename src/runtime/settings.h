#pragma once

// Settings of a program, from flags and environment variables. All faults are
// reported at once, before anything starts.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libperidotreach/error.h"
#include "runtime/setting.h"

namespace peridotreach {

// The settings of one process, checked.
class Settings {
 public:
  // Returns the text of the setting `name`.
  const std::string& text(const std::string& name) const;

  // Returns the number of the setting `name`.
  std::int64_t number(const std::string& name) const;

  // Returns whether the switch `name` is on.
  bool is_on(const std::string& name) const;

  // Returns the arguments that are no settings.
  const std::vector<std::string>& arguments() const { return arguments_; }

  // Returns name and value of each setting, secrets hidden.
  std::string print() const;

  // Reads flags, then environment variables, then defaults. The error lists
  // every fault.
  static Result<Settings> read(const std::vector<Setting>& known, int argc,
                               char** argv);

 private:
  std::vector<Setting> known_;
  std::map<std::string, std::string> values_;
  std::vector<std::string> arguments_;
};

// Returns the environment variable of a setting.
std::string environment_name(const std::string& setting);

// Returns the help text of a program.
std::string usage(const std::string& program, const std::string& summary,
                  const std::vector<Setting>& known);

// Reads settings for a program's main function. Handles --help, --version,
// --check-settings and --print-settings, which end the program, and prints
// faults.
Settings settings_or_exit(const std::string& program,
                          const std::string& summary,
                          std::vector<Setting> known, int argc, char** argv);

}  // namespace peridotreach
