#include "libperidotreach/fleet_config.h"

#include <sodium.h>

#include <algorithm>

#include "fleet.pb.h"

namespace peridotreach {
namespace {

RankPolicy rank_from(const proto::Rank& rank) {
  return {rank.id(),
          rank.order(),
          rank.first_token_target_ms(),
          rank.token_gap_target_ms(),
          rank.start_deadline_ms(),
          rank.floor(),
          rank.headroom()};
}

CallerPolicy caller_from(const proto::Caller& caller) {
  return {caller.id(),
          caller.key_sha256(),
          caller.share() > 0 ? caller.share() : 1,
          {caller.ranks().begin(), caller.ranks().end()},
          caller.max_queued(),
          caller.max_running()};
}

ServicePolicy service_from(const proto::Service& service) {
  ServicePolicy policy;
  policy.id = service.id();
  policy.is_model = service.kind() == proto::Service::KIND_MODEL;
  policy.models.assign(service.models().begin(), service.models().end());
  for (const auto& call : service.non_repeatable()) {
    policy.non_repeatable.push_back({call.method(), call.path_prefix()});
  }
  policy.checks_fencing = service.checks_fencing();
  if (service.request_timeout_ms() > 0) {
    policy.request_timeout = service.request_timeout_ms();
  }
  return policy;
}

template <class List>
auto find_by_id(const List& list, const std::string& id) {
  const auto found = std::find_if(list.begin(), list.end(),
                                  [&](const auto& x) { return x.id == id; });
  return found == list.end() ? nullptr : &*found;
}

}  // namespace

FleetConfig fleet_config_from(const proto::Config& config) {
  FleetConfig result;
  result.revision = config.revision();
  result.sheet_serial = config.sheet().serial();
  result.deployment = config.sheet().deployment();
  for (const auto& rank : config.sheet().ranks()) {
    result.ranks.push_back(rank_from(rank));
  }
  std::sort(result.ranks.begin(), result.ranks.end(),
            [](const auto& a, const auto& b) { return a.order < b.order; });
  for (const auto& caller : config.sheet().callers()) {
    result.callers.push_back(caller_from(caller));
  }
  for (const auto& service : config.sheet().services()) {
    result.services.push_back(service_from(service));
  }
  for (const auto& place : config.sheet().places()) {
    result.places.push_back({place.zone(),
                             place.service(),
                             place.model(),
                             place.version(),
                             {place.adapters().begin(), place.adapters().end()},
                             place.copies()});
  }
  result.drained.assign(config.sheet().drained().begin(),
                        config.sheet().drained().end());
  return result;
}

const RankPolicy* find_rank(const FleetConfig& config, const std::string& id) {
  return find_by_id(config.ranks, id);
}

const CallerPolicy* find_caller(const FleetConfig& config,
                                const std::string& id) {
  return find_by_id(config.callers, id);
}

double caller_share(const FleetConfig& config, const std::string& caller) {
  const CallerPolicy* policy = find_caller(config, caller);
  return policy == nullptr ? 1 : policy->share;
}

const ServicePolicy* find_service(const FleetConfig& config,
                                  const std::string& id) {
  return find_by_id(config.services, id);
}

const CallerPolicy* find_caller_by_key(const FleetConfig& config,
                                       const std::string& key_sha256) {
  const CallerPolicy* found = nullptr;
  for (const CallerPolicy& caller : config.callers) {
    if (caller.key_sha256.size() != key_sha256.size()) continue;
    if (sodium_memcmp(caller.key_sha256.data(), key_sha256.data(),
                      key_sha256.size()) != 0) {
      continue;
    }
    found = &caller;
  }
  return found;
}

const ServicePolicy* find_service_of_model(const FleetConfig& config,
                                           const std::string& model) {
  for (const ServicePolicy& service : config.services) {
    const auto& models = service.models;
    if (std::find(models.begin(), models.end(), model) != models.end()) {
      return &service;
    }
  }
  return nullptr;
}

bool is_drained(const FleetConfig& config, const std::string& id) {
  const auto& drained = config.drained;
  return std::find(drained.begin(), drained.end(), id) != drained.end();
}

bool is_non_repeatable(const ServicePolicy& service, const std::string& method,
                       const std::string& path) {
  for (const NonRepeatableCall& call : service.non_repeatable) {
    if (call.method != method) continue;
    if (path.compare(0, call.path_prefix.size(), call.path_prefix) == 0) {
      return true;
    }
  }
  return false;
}

}  // namespace peridotreach
