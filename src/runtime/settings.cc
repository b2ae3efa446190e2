#include "runtime/settings.h"

#include <getopt.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <iostream>

#include "runtime/version.h"

namespace peridotreach {
namespace {

// Exit code for unusable settings.
constexpr int kBadSettings = 2;

std::string flag_or_variable(const Setting& setting) {
  return "--" + setting.name + " or " + environment_name(setting.name);
}

bool is_number(const std::string& text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end && number >= 0;
}

// Returns what is wrong with the value of `setting`, or nothing.
std::string fault_of(const Setting& setting, const std::string& value) {
  if (setting.required && value.empty()) {
    return "--" + setting.name + " is missing; set " +
           flag_or_variable(setting);
  }
  if (setting.kind == SettingKind::kNumber && !is_number(value)) {
    return "--" + setting.name + " is \"" + value +
           "\", not a number from 0 up; correct " + flag_or_variable(setting);
  }
  const bool is_switch = setting.kind == SettingKind::kSwitch;
  if (is_switch && value != "on" && value != "off") {
    return "--" + setting.name + " is \"" + value + "\"; write on or off";
  }
  return {};
}

std::vector<option> long_options(const std::vector<Setting>& known) {
  std::vector<option> options;
  for (const Setting& setting : known) {
    const bool is_switch = setting.kind == SettingKind::kSwitch;
    options.push_back({setting.name.c_str(),
                       is_switch ? optional_argument : required_argument,
                       nullptr, 0});
  }
  options.push_back({nullptr, 0, nullptr, 0});
  return options;
}

}  // namespace

std::string environment_name(const std::string& setting) {
  std::string name = "PERIDOT_";
  for (const char c : setting) {
    name +=
        c == '-'
            ? '_'
            : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return name;
}

const std::string& Settings::text(const std::string& name) const {
  return values_.at(name);
}

std::int64_t Settings::number(const std::string& name) const {
  return std::strtoll(values_.at(name).c_str(), nullptr, 10);
}

bool Settings::is_on(const std::string& name) const {
  return values_.at(name) == "on";
}

std::string Settings::print() const {
  std::string text;
  for (const Setting& setting : known_) {
    const std::string& value = values_.at(setting.name);
    const bool hidden = setting.kind == SettingKind::kSecret && !value.empty();
    text += setting.name + " = " + (hidden ? "(hidden)" : value) + "\n";
  }
  return text;
}

Result<Settings> Settings::read(const std::vector<Setting>& known, int argc,
                                char** argv) {
  Settings settings;
  settings.known_ = known;
  std::string faults;
  const std::vector<option> options = long_options(known);
  optind = 1;
  opterr = 0;
  while (true) {
    int index = 0;
    const int code = getopt_long(argc, argv, "", options.data(), &index);
    if (code == -1) break;
    if (code != 0) {
      const std::string flag = argv[optind - 1];
      faults += flag + " is no flag of this program; see --help\n";
      continue;
    }
    const std::string name = options[static_cast<std::size_t>(index)].name;
    settings.values_[name] = optarg == nullptr ? "on" : optarg;
  }
  for (int i = optind; i < argc; ++i) settings.arguments_.emplace_back(argv[i]);
  for (const Setting& setting : known) {
    if (!settings.values_.contains(setting.name)) {
      const char* variable =
          std::getenv(environment_name(setting.name).c_str());
      settings.values_[setting.name] =
          variable == nullptr ? setting.fallback : variable;
    }
    const std::string fault = fault_of(setting, settings.values_[setting.name]);
    if (!fault.empty()) faults += fault + "\n";
  }
  if (!faults.empty()) {
    return Error{ErrorKind::kInvalidInput, faults,
                 "see --help for all settings"};
  }
  return settings;
}

std::string usage(const std::string& program, const std::string& summary,
                  const std::vector<Setting>& known) {
  std::string text = "Usage: " + program + " [SETTINGS]\n\n" + summary +
                     "\n\nEach setting is a flag or an environment variable; "
                     "the flag goes first.\n\n";
  for (const Setting& setting : known) {
    text += "  --" + setting.name + "  " + setting.help;
    if (setting.required) text += " (required)";
    if (!setting.fallback.empty()) text += " [" + setting.fallback + "]";
    text += "\n      " + environment_name(setting.name) + "\n";
  }
  return text;
}

Settings settings_or_exit(const std::string& program,
                          const std::string& summary,
                          std::vector<Setting> known, int argc, char** argv) {
  known.push_back({"help", SettingKind::kSwitch, "off", false, "Print this"});
  known.push_back(
      {"version", SettingKind::kSwitch, "off", false, "Print the version"});
  known.push_back({"check-settings", SettingKind::kSwitch, "off", false,
                   "Check the settings and exit"});
  known.push_back({"print-settings", SettingKind::kSwitch, "off", false,
                   "Print the settings in force and exit"});
  const auto asks = [&](const std::string& flag) {
    return std::any_of(argv + 1, argv + argc,
                       [&](const char* word) { return flag == word; });
  };
  if (asks("--help")) {
    std::cout << usage(program, summary, known);
    std::exit(0);
  }
  if (asks("--version")) {
    std::cout << program << " " << kVersion << "\n";
    std::exit(0);
  }
  const Result<Settings> result = Settings::read(known, argc, argv);
  if (!ok(result)) {
    std::cerr << program << ": unusable settings\n"
              << error(result).message << error(result).remedy << "\n";
    std::exit(kBadSettings);
  }
  if (value(result).is_on("print-settings")) {
    std::cout << value(result).print();
    std::exit(0);
  }
  if (value(result).is_on("check-settings")) {
    std::cout << "settings are usable\n";
    std::exit(0);
  }
  return value(result);
}

}  // namespace peridotreach
