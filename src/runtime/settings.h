#pragma once

// Settings of a program, read from flags and environment variables. All errors
// are reported together, before the program starts its work.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libperidotreach/error.h"
#include "runtime/setting.h"

namespace peridotreach {

// Validated settings of one process.
class Settings {
 public:
  // Returns the value of the setting `name` as text.
  const std::string& text(const std::string& name) const;

  // Returns the value of the numeric setting `name`.
  std::int64_t number(const std::string& name) const;

  // Returns whether the switch `name` is on.
  bool is_on(const std::string& name) const;

  // Returns the positional arguments.
  const std::vector<std::string>& arguments() const { return arguments_; }

  // Returns one "name = value" line for each setting, with secrets hidden.
  std::string to_text() const;

  // Reads each setting from its flag, else from its environment variable, else
  // from its default. On failure the error lists every invalid setting.
  static Result<Settings> read(const std::vector<Setting>& declared, int argc,
                               char** argv);

 private:
  std::vector<Setting> declared_;
  std::map<std::string, std::string> values_;
  std::vector<std::string> arguments_;
};

// Returns the name of the environment variable for the setting `setting`.
std::string environment_name(const std::string& setting);

// Returns the help text of a program.
std::string usage(const std::string& program, const std::string& summary,
                  const std::vector<Setting>& declared);

// Reads the settings in a program's main function. Exits the process after
// handling --help, --version, --check-settings or --print-settings. If settings
// are invalid, prints the errors and exits with code 2.
Settings settings_or_exit(const std::string& program,
                          const std::string& summary,
                          std::vector<Setting> declared, int argc, char** argv);

}  // namespace peridotreach
