// peridotctl: the operators' command-line tool.

#include <sodium.h>

#include <algorithm>
#include <array>
#include <iostream>

#include "peridotctl/commands.h"

namespace peridotreach {
namespace {

// A command: its first words, its function and its help.
struct Command {
  const char* first;
  const char* second;
  int (*run)(const CommandLine&);
  const char* help;
};

constexpr std::array<Command, 10> kCommands = {{
    {"sheet", "check", check_sheet_file, "sheet check FILE: report all faults"},
    {"sheet", "diff", diff_sheet_file,
     "sheet diff FILE: show what applying it would change"},
    {"sheet", "apply", apply_sheet_file, "sheet apply FILE: put it in force"},
    {"correct", "", correct,
     "correct PATH VALUE [EXPECTED]: change one field, if it still has the "
     "expected value"},
    {"drain", "", drain,
     "drain ID [--undo=on]: take a VM or endpoint out of service"},
    {"status", "", show_status, "status: show every entry VM"},
    {"history", "", show_history, "history: show recent changes"},
    {"refusals", "", show_refusals,
     "refusals [--from=MINUTE] [--to=MINUTE]: account for minutes of refusal"},
    {"explain", "", explain_request,
     "explain REQUEST-ID [LOG-FILE...]: show the decisions about a request, "
     "asking the VM that handled it or from routers' logs (- is standard "
     "input)"},
    {"completion", "", print_completion,
     "completion: print a completion script for bash"},
}};

std::string summary() {
  std::string text = "Commands:\n";
  for (const Command& command : kCommands) {
    text += std::string("  ") + command.help + "\n";
  }
  text +=
      "\nExit codes: 0 done, 1 failed, 2 usage, 3 faults in the sheet, 4 "
      "refused, 5 the store does not answer.";
  return text;
}

const Command* find_command(const std::vector<std::string>& words) {
  for (const Command& command : kCommands) {
    if (words.empty() || words[0] != command.first) continue;
    const std::string second = command.second;
    if (!second.empty() && (words.size() < 2 || words[1] != second)) continue;
    return &command;
  }
  return nullptr;
}

}  // namespace

int print_completion(const CommandLine& /*line*/) {
  std::string words;
  for (const Command& command : kCommands) {
    if (words.find(command.first) != std::string::npos) continue;
    words += std::string(words.empty() ? "" : " ") + command.first;
  }
  std::cout << "_peridotctl() {\n"
               "  local word=\"${COMP_WORDS[COMP_CWORD]}\"\n"
               "  if [ \"${COMP_WORDS[1]}\" = sheet ] && [ \"$COMP_CWORD\" "
               "-eq 2 ]; then\n"
               "    COMPREPLY=($(compgen -W \"check diff apply\" -- "
               "\"$word\"))\n"
               "  elif [ \"$COMP_CWORD\" -eq 1 ]; then\n"
               "    COMPREPLY=($(compgen -W \""
            << words
            << "\" -- \"$word\"))\n"
               "  else\n"
               "    COMPREPLY=($(compgen -f -- \"$word\"))\n"
               "  fi\n"
               "}\n"
               "complete -F _peridotctl peridotctl\n";
  return kDone;
}

}  // namespace peridotreach

int main(int argc, char** argv) {
  using peridotreach::SettingKind;
  if (sodium_init() < 0) return peridotreach::kFailed;
  const auto settings = peridotreach::settings_or_exit(
      "peridotctl COMMAND", peridotreach::summary(),
      {{"store", SettingKind::kText, "http://127.0.0.1:2379", false,
        "URL of the platform's key-value service"},
       {"operator", SettingKind::kText, "", false,
        "Your name, for the history"},
       {"operator-key", SettingKind::kSecret, "", false,
        "Key of the admin paths"},
       {"change-id", SettingKind::kText, "", false,
        "Id of a correction, to repeat it safely"},
       {"undo", SettingKind::kSwitch, "off", false, "Undo a drain"},
       {"from", SettingKind::kText, "", false,
        "First minute since the epoch; a day ago if empty"},
       {"to", SettingKind::kText, "", false,
        "Minute to stop before; now if empty"},
       {"json", SettingKind::kSwitch, "off", false, "Print JSON"}},
      argc, argv);
  const auto* command = peridotreach::find_command(settings.arguments());
  if (command == nullptr) {
    std::cerr << "no such command; see peridotctl --help\n";
    return peridotreach::kUsage;
  }
  return command->run({settings, settings.arguments()});
}
