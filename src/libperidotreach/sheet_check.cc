#include "libperidotreach/sheet_check.h"

#include <cstddef>
#include <set>
#include <string>

#include "sheet.pb.h"

namespace peridotreach {
namespace {

using Faults = std::vector<SheetFault>;

// Size limit of a value in the store, less space for the change history.
constexpr std::size_t kMaxSheetBytes = 900'000;

// Number of hexadecimal digits of a SHA-256 digest.
constexpr std::size_t kSha256HexDigits = 64;

std::string element_path(const std::string& list, int index) {
  return list + "[" + std::to_string(index) + "]";
}

void check_id(const std::string& path, const std::string& id,
              std::set<std::string>& seen, Faults& faults) {
  if (id.empty()) {
    faults.push_back({path + ".id", "is empty", "enter an id"});
    return;
  }
  if (seen.insert(id).second) return;
  faults.push_back({path + ".id", "\"" + id + "\" is used more than once",
                    "rename or remove one of the entries"});
}

void check_fraction(const std::string& path, double value, Faults& faults) {
  if (value >= 0 && value <= 1) return;
  faults.push_back(
      {path, "is outside 0 to 1", "write it as a fraction between 0 and 1"});
}

void check_ranks(const proto::Sheet& sheet, Faults& faults) {
  std::set<std::string> ids;
  std::set<std::uint32_t> orders;
  double floors = 0;
  double headrooms = 0;
  for (int i = 0; i < sheet.ranks_size(); ++i) {
    const proto::Rank& rank = sheet.ranks(i);
    const std::string path = element_path("ranks", i);
    check_id(path, rank.id(), ids, faults);
    if (!orders.insert(rank.order()).second) {
      faults.push_back({path + ".order", "is used by another rank",
                        "give each rank a unique order; 0 is the most urgent"});
    }
    check_fraction(path + ".floor", rank.floor(), faults);
    check_fraction(path + ".headroom", rank.headroom(), faults);
    if (rank.start_deadline_ms() == 0) {
      faults.push_back({path + ".start_deadline_ms", "is missing",
                        "enter the time within which a response must start"});
    }
    if (rank.token_gap_target_ms() == 0) {
      faults.push_back({path + ".token_gap_target_ms", "is missing",
                        "enter the target time between tokens"});
    }
    floors += rank.floor();
    headrooms += rank.headroom();
  }
  if (sheet.ranks_size() == 0) {
    faults.push_back({"ranks", "is empty", "define at least one rank"});
  }
  if (floors > 1) {
    faults.push_back({"ranks", "floors sum to more than 1",
                      "lower them so that their sum is at most 1"});
  }
  constexpr double kMaxTotalHeadroom = 0.8;
  if (headrooms > kMaxTotalHeadroom) {
    faults.push_back(
        {"ranks", "headrooms sum to more than 0.8",
         "lower them; capacity that is kept free serves no requests"});
  }
}

void check_callers(const proto::Sheet& sheet,
                   const std::set<std::string>& ranks, Faults& faults) {
  std::set<std::string> ids;
  std::set<std::string> keys;
  for (int i = 0; i < sheet.callers_size(); ++i) {
    const proto::Caller& caller = sheet.callers(i);
    const std::string path = element_path("callers", i);
    check_id(path, caller.id(), ids, faults);
    const std::string& key = caller.key_sha256();
    const bool is_hex =
        key.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (key.size() != kSha256HexDigits || !is_hex) {
      faults.push_back({path + ".key_sha256", "is not a SHA-256",
                        "write 64 lowercase hexadecimal digits"});
    } else if (!keys.insert(key).second) {
      faults.push_back({path + ".key_sha256",
                        "is already used by another caller",
                        "give each caller a unique key"});
    }
    if (caller.share() < 0) {
      faults.push_back(
          {path + ".share", "is negative", "write a weight above 0"});
    }
    if (caller.ranks_size() == 0) {
      faults.push_back(
          {path + ".ranks", "is empty", "name the ranks this caller may use"});
    }
    for (int j = 0; j < caller.ranks_size(); ++j) {
      if (ranks.contains(caller.ranks(j))) continue;
      faults.push_back(
          {element_path(path + ".ranks", j),
           "refers to an unknown rank: \"" + caller.ranks(j) + "\"",
           "define the rank or correct the name"});
    }
  }
}

void check_services(const proto::Sheet& sheet, Faults& faults) {
  std::set<std::string> ids;
  std::set<std::string> models;
  for (int i = 0; i < sheet.services_size(); ++i) {
    const proto::Service& service = sheet.services(i);
    const std::string path = element_path("services", i);
    check_id(path, service.id(), ids, faults);
    const bool is_model = service.kind() == proto::Service::KIND_MODEL;
    if (service.kind() == proto::Service::KIND_UNSPECIFIED) {
      faults.push_back(
          {path + ".kind", "is missing", "write KIND_MODEL or KIND_PLAIN"});
    }
    if (is_model && service.models_size() == 0) {
      faults.push_back({path + ".models", "is empty",
                        "name the models that the service serves"});
    }
    for (int j = 0; j < service.models_size(); ++j) {
      if (models.insert(service.models(j)).second) continue;
      faults.push_back(
          {element_path(path + ".models", j),
           "\"" + service.models(j) + "\" is listed more than once",
           "list each model under one service only"});
    }
    for (int j = 0; j < service.non_repeatable_size(); ++j) {
      const auto& call = service.non_repeatable(j);
      const bool is_absolute =
          !call.path_prefix().empty() && call.path_prefix().front() == '/';
      if (!call.method().empty() && is_absolute) continue;
      faults.push_back({element_path(path + ".non_repeatable", j),
                        "lacks a method or a path that starts with /",
                        "specify both"});
    }
  }
}

void check_places(const proto::Sheet& sheet, Faults& faults) {
  std::set<std::string> zones(sheet.zones().begin(), sheet.zones().end());
  std::set<std::string> services;
  std::set<std::string> models;
  for (const proto::Service& service : sheet.services()) {
    services.insert(service.id());
    models.insert(service.models().begin(), service.models().end());
  }
  std::set<std::string> seen;
  for (int i = 0; i < sheet.places_size(); ++i) {
    const proto::Place& place = sheet.places(i);
    const std::string path = element_path("places", i);
    if (!zones.contains(place.zone())) {
      faults.push_back(
          {path + ".zone",
           "refers to an unknown availability zone: \"" + place.zone() + "\"",
           "list it under zones or correct the name"});
    }
    if (!services.contains(place.service())) {
      faults.push_back(
          {path + ".service",
           "refers to an unknown service: \"" + place.service() + "\"",
           "define the service or correct the name"});
    }
    if (!models.contains(place.model())) {
      faults.push_back({path + ".model",
                        "refers to an unknown model: \"" + place.model() + "\"",
                        "list it under its service or correct the name"});
    }
    if (place.version().empty()) {
      faults.push_back(
          {path + ".version", "is empty", "name the version to run"});
    }
    const std::string key = place.zone() + "/" + place.model();
    if (!seen.insert(key).second) {
      faults.push_back({path, "duplicates the place " + key,
                        "keep one entry for each zone and model"});
    }
  }
}

}  // namespace

std::vector<SheetFault> check_sheet(const proto::Sheet& sheet) {
  Faults faults;
  if (sheet.deployment().empty()) {
    faults.push_back({"deployment", "is empty", "name the deployment"});
  }
  if (sheet.serial() == 0) {
    faults.push_back(
        {"serial", "is missing",
         "number sheets from 1, each higher than the previous one"});
  }
  if (sheet.ByteSizeLong() > kMaxSheetBytes) {
    faults.push_back({"", "exceeds the size limit of a value in the store",
                      "reduce it to at most 900,000 bytes"});
  }
  std::set<std::string> ranks;
  for (const proto::Rank& rank : sheet.ranks()) ranks.insert(rank.id());
  check_ranks(sheet, faults);
  check_callers(sheet, ranks, faults);
  check_services(sheet, faults);
  check_places(sheet, faults);
  return faults;
}

}  // namespace peridotreach
