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

// Exit code if settings are invalid.
constexpr int kInvalidSettingsExitCode = 2;

std::string flag_or_variable(const Setting& setting) {
  return "--" + setting.name + " or " + environment_name(setting.name);
}

bool is_number(const std::string& text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end && number >= 0;
}

// Returns an error message if `value` is invalid for `setting`, else an empty
// string.
std::string validation_error(const Setting& setting, const std::string& value) {
  if (setting.required && value.empty()) {
    return "--" + setting.name + " is required; set " +
           flag_or_variable(setting);
  }
  if (setting.kind == SettingKind::kNumber && !is_number(value)) {
    return "--" + setting.name + " must be a non-negative integer, got \"" +
           value + "\"; correct " + flag_or_variable(setting);
  }
  const bool is_switch = setting.kind == SettingKind::kSwitch;
  if (is_switch && value != "on" && value != "off") {
    return "--" + setting.name + " must be \"on\" or \"off\", got \"" + value +
           "\"; see --help";
  }
  return {};
}

std::vector<option> long_options(const std::vector<Setting>& declared) {
  std::vector<option> options;
  for (const Setting& setting : declared) {
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

std::string Settings::to_text() const {
  std::string text;
  for (const Setting& setting : declared_) {
    const std::string& value = values_.at(setting.name);
    const bool hidden = setting.kind == SettingKind::kSecret && !value.empty();
    text += setting.name + " = " + (hidden ? "(hidden)" : value) + "\n";
  }
  return text;
}

Result<Settings> Settings::read(const std::vector<Setting>& declared, int argc,
                                char** argv) {
  Settings settings;
  settings.declared_ = declared;
  std::string errors;
  const std::vector<option> options = long_options(declared);
  optind = 1;
  opterr = 0;
  while (true) {
    int index = 0;
    const int code = getopt_long(argc, argv, "", options.data(), &index);
    if (code == -1) break;
    if (code != 0) {
      const std::string flag = argv[optind - 1];
      errors += flag + " is an unknown flag or lacks its value; see --help\n";
      continue;
    }
    const std::string name = options[static_cast<std::size_t>(index)].name;
    settings.values_[name] = optarg == nullptr ? "on" : optarg;
  }
  for (int i = optind; i < argc; ++i) settings.arguments_.emplace_back(argv[i]);
  for (const Setting& setting : declared) {
    if (!settings.values_.contains(setting.name)) {
      const char* variable =
          std::getenv(environment_name(setting.name).c_str());
      settings.values_[setting.name] =
          variable == nullptr ? setting.default_value : variable;
    }
    const std::string error_text =
        validation_error(setting, settings.values_[setting.name]);
    if (!error_text.empty()) errors += error_text + "\n";
  }
  if (!errors.empty()) {
    return Error{ErrorKind::kInvalidInput, errors,
                 "run with --help for a list of all settings"};
  }
  return settings;
}

std::string usage(const std::string& program, const std::string& summary,
                  const std::vector<Setting>& declared) {
  std::string text = "Usage: " + program + " [SETTINGS]\n\n" + summary +
                     "\n\nEach setting can be given as a flag or as an "
                     "environment variable; the flag takes precedence.\n\n";
  for (const Setting& setting : declared) {
    text += "  --" + setting.name + "  " + setting.help;
    if (setting.required) text += " (required)";
    if (!setting.default_value.empty())
      text += " [" + setting.default_value + "]";
    text += "\n      " + environment_name(setting.name) + "\n";
  }
  return text;
}

Settings settings_or_exit(const std::string& program,
                          const std::string& summary,
                          std::vector<Setting> declared, int argc,
                          char** argv) {
  declared.push_back(
      {"help", SettingKind::kSwitch, "off", false, "Print this help and exit"});
  declared.push_back({"version", SettingKind::kSwitch, "off", false,
                      "Print the version and exit"});
  declared.push_back({"check-settings", SettingKind::kSwitch, "off", false,
                      "Validate the settings and exit"});
  declared.push_back({"print-settings", SettingKind::kSwitch, "off", false,
                      "Print all settings, with secrets hidden, and exit"});
  const auto has_flag = [&](const std::string& flag) {
    return std::any_of(argv + 1, argv + argc,
                       [&](const char* argument) { return flag == argument; });
  };
  if (has_flag("--help")) {
    std::cout << usage(program, summary, declared);
    std::exit(0);
  }
  if (has_flag("--version")) {
    std::cout << program << " " << kVersion << "\n";
    std::exit(0);
  }
  const Result<Settings> result = Settings::read(declared, argc, argv);
  if (!ok(result)) {
    std::cerr << program << ": invalid settings\n"
              << error(result).message << error(result).remedy << "\n";
    std::exit(kInvalidSettingsExitCode);
  }
  if (value(result).is_on("print-settings")) {
    std::cout << value(result).to_text();
    std::exit(0);
  }
  if (value(result).is_on("check-settings")) {
    std::cout << "settings are valid\n";
    std::exit(0);
  }
  return value(result);
}

}  // namespace peridotreach
