#include "libperidotreach/sheet_check.h"

#include <cstddef>
#include <set>
#include <string>

#include "sheet.pb.h"

namespace peridotreach {
namespace {

using Faults = std::vector<SheetFault>;

// Bytes that a value in the store may have, less room for the history.
constexpr std::size_t kMostSheetBytes = 900'000;

// Hexadecimal digits of a SHA-256.
constexpr std::size_t kKeyDigits = 64;

std::string at(const std::string& list, int index) {
  return list + "[" + std::to_string(index) + "]";
}

void check_id(const std::string& path, const std::string& id,
              std::set<std::string>& seen, Faults& faults) {
  if (id.empty()) {
    faults.push_back({path + ".id", "is empty", "give it a name"});
    return;
  }
  if (seen.insert(id).second) return;
  faults.push_back({path + ".id", "\"" + id + "\" stands twice",
                    "rename one of them or remove it"});
}

void check_fraction(const std::string& path, double value, Faults& faults) {
  if (value >= 0 && value <= 1) return;
  faults.push_back({path, "is outside 0 to 1", "write it as a fraction of 1"});
}

void check_ranks(const proto::Sheet& sheet, Faults& faults) {
  std::set<std::string> ids;
  std::set<std::uint32_t> orders;
  double floors = 0;
  double headrooms = 0;
  for (int i = 0; i < sheet.ranks_size(); ++i) {
    const proto::Rank& rank = sheet.ranks(i);
    const std::string path = at("ranks", i);
    check_id(path, rank.id(), ids, faults);
    if (!orders.insert(rank.order()).second) {
      faults.push_back({path + ".order", "is used by another rank",
                        "give each rank its own order, 0 the most urgent"});
    }
    check_fraction(path + ".floor", rank.floor(), faults);
    check_fraction(path + ".headroom", rank.headroom(), faults);
    if (rank.start_deadline_ms() == 0) {
      faults.push_back({path + ".start_deadline_ms", "is missing",
                        "give the time by which an answer must have begun"});
    }
    if (rank.token_gap_target_ms() == 0) {
      faults.push_back({path + ".token_gap_target_ms", "is missing",
                        "give the target time between tokens"});
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
  constexpr double kMostHeadroom = 0.8;
  if (headrooms > kMostHeadroom) {
    faults.push_back({"ranks", "headrooms sum to more than 0.8",
                      "lower them; what is kept free serves nobody"});
  }
}

void check_callers(const proto::Sheet& sheet,
                   const std::set<std::string>& ranks, Faults& faults) {
  std::set<std::string> ids;
  std::set<std::string> keys;
  for (int i = 0; i < sheet.callers_size(); ++i) {
    const proto::Caller& caller = sheet.callers(i);
    const std::string path = at("callers", i);
    check_id(path, caller.id(), ids, faults);
    const std::string& key = caller.key_sha256();
    const bool hex =
        key.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (key.size() != kKeyDigits || !hex) {
      faults.push_back({path + ".key_sha256", "is not a SHA-256",
                        "write 64 lowercase hexadecimal digits"});
    } else if (!keys.insert(key).second) {
      faults.push_back({path + ".key_sha256", "is another caller's key",
                        "give each caller a key of its own"});
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
      faults.push_back({at(path + ".ranks", j),
                        "names no rank: \"" + caller.ranks(j) + "\"",
                        "define the rank or correct the name"});
    }
  }
}

void check_services(const proto::Sheet& sheet, Faults& faults) {
  std::set<std::string> ids;
  std::set<std::string> models;
  for (int i = 0; i < sheet.services_size(); ++i) {
    const proto::Service& service = sheet.services(i);
    const std::string path = at("services", i);
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
      faults.push_back({at(path + ".models", j),
                        "\"" + service.models(j) + "\" stands twice",
                        "serve each model by one service"});
    }
    for (int j = 0; j < service.non_repeatable_size(); ++j) {
      const auto& call = service.non_repeatable(j);
      const bool rooted =
          !call.path_prefix().empty() && call.path_prefix().front() == '/';
      if (!call.method().empty() && rooted) continue;
      faults.push_back({at(path + ".non_repeatable", j),
                        "lacks a method or a path that starts with /",
                        "give both"});
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
    const std::string path = at("places", i);
    if (!zones.contains(place.zone())) {
      faults.push_back({path + ".zone",
                        "names no availability zone: \"" + place.zone() + "\"",
                        "list it under zones or correct the name"});
    }
    if (!services.contains(place.service())) {
      faults.push_back({path + ".service",
                        "names no service: \"" + place.service() + "\"",
                        "define the service or correct the name"});
    }
    if (!models.contains(place.model())) {
      faults.push_back({path + ".model",
                        "names no model: \"" + place.model() + "\"",
                        "list it under its service or correct the name"});
    }
    if (place.version().empty()) {
      faults.push_back(
          {path + ".version", "is empty", "name the version to run"});
    }
    const std::string key = place.zone() + "/" + place.model();
    if (!seen.insert(key).second) {
      faults.push_back({path, "repeats the place " + key,
                        "keep one line for each zone and model"});
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
    faults.push_back({"serial", "is missing",
                      "number sheets from 1, each higher than the last"});
  }
  if (sheet.ByteSizeLong() > kMostSheetBytes) {
    faults.push_back({"", "is larger than the store takes in one value",
                      "shorten it to under 900,000 bytes"});
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
