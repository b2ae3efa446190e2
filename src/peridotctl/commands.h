#pragma once

// The commands of peridotctl. Each command prints its result and returns the
// exit code of the program.

#include <string>
#include <vector>

#include "runtime/settings.h"

namespace peridotreach {

// Exit codes of the program, documented in docs/OPERATIONS.md.
enum ExitCode {
  kDone = 0,
  kFailed = 1,
  kUsage = 2,
  kSheetFaults = 3,
  kRefused = 4,
  kStoreDown = 5,
};

// The settings of one invocation and its positional arguments, which start with
// the name of the command.
struct CommandLine {
  const Settings& settings;
  std::vector<std::string> arguments;
};

int check_sheet_file(const CommandLine& line);
int diff_sheet_file(const CommandLine& line);
int apply_sheet_file(const CommandLine& line);
int correct_field(const CommandLine& line);
int drain(const CommandLine& line);
int show_status(const CommandLine& line);
int show_history(const CommandLine& line);
int show_refusals(const CommandLine& line);
int explain_request(const CommandLine& line);
int print_completion(const CommandLine& line);

// Prints `problem` to standard error and returns the matching exit code.
int report_error(const Error& problem);

}  // namespace peridotreach
