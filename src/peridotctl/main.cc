// peridotctl: the command-line tool for operators.

#include <sodium.h>

#include <algorithm>
#include <array>
#include <iostream>

#include "peridotctl/commands.h"

namespace peridotreach {
namespace {

// One command: the one or two words that select it, the function that runs it
// and its help text.
struct Command {
  const char* first;
  const char* second;
  int (*run)(const CommandLine&);
  const char* help;
};

constexpr std::array<Command, 10> kCommands = {{
    {"sheet", "check", check_sheet_file,
     "sheet check FILE: check a sheet and report every fault"},
    {"sheet", "diff", diff_sheet_file,
     "sheet diff FILE: show the fields that applying a sheet would change"},
    {"sheet", "apply", apply_sheet_file,
     "sheet apply FILE: make a sheet the configuration in force"},
    {"correct", "", correct_field,
     "correct PATH VALUE [EXPECTED]: set one field of the configuration; with "
     "EXPECTED, only if the field still has that value"},
    {"drain", "", drain,
     "drain ID [--undo=on]: take a VM or endpoint out of service, or put it "
     "back"},
    {"status", "", show_status,
     "status: show the state of every registered entry VM"},
    {"history", "", show_history, "history: show recent configuration changes"},
    {"refusals", "", show_refusals,
     "refusals [--from=MINUTE] [--to=MINUTE]: count refusals, and minutes with "
     "refusals, by caller, rank, service and kind"},
    {"explain", "", explain_request,
     "explain REQUEST-ID [LOG-FILE...]: show the decisions about a request, "
     "read from the VM that handled it or, if given, from routers' log files "
     "(- reads standard input)"},
    {"completion", "", print_completion,
     "completion: print a bash completion script"},
}};

std::string summary() {
  std::string text = "Commands:\n";
  for (const Command& command : kCommands) {
    text += std::string("  ") + command.help + "\n";
  }
  text +=
      "\nExit codes: 0 success, 1 failure, 2 usage error, 3 faults in the "
      "sheet, 4 change refused, 5 store unavailable.";
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
        "URL of the store (the platform's key-value service)"},
       {"operator", SettingKind::kText, "", false,
        "Operator name to record in the change history"},
       {"operator-key", SettingKind::kSecret, "", false,
        "Key for the /admin/ paths of entry VMs"},
       {"change-id", SettingKind::kText, "", false,
        "Id of a correction or drain; reuse it to retry without applying the "
        "change twice. Random if empty"},
       {"undo", SettingKind::kSwitch, "off", false,
        "With drain: put the VM or endpoint back into service"},
       {"from", SettingKind::kText, "", false,
        "First minute to count, in minutes since the epoch; 24 h ago if empty"},
       {"to", SettingKind::kText, "", false,
        "Minute to stop before, in minutes since the epoch; if empty, the "
        "current minute is the last one counted"},
       {"json", SettingKind::kSwitch, "off", false,
        "Print JSON instead of tables"}},
      argc, argv);
  const auto* command = peridotreach::find_command(settings.arguments());
  if (command == nullptr) {
    std::cerr << "missing or unknown command; see peridotctl --help\n";
    return peridotreach::kUsage;
  }
  return command->run({settings, settings.arguments()});
}
