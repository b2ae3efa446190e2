#pragma once

// The configuration in force as plain values for the reducers, converted from
// the protobuf message Config in proto/fleet.proto.

#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

namespace proto {
class Config;
}

// A priority class of requests. `order` 0 is the most urgent. `floor` is the
// fraction of tokens that the rank is guaranteed under overload; `headroom` is
// the fraction of slots and memory kept free for it.
struct RankPolicy {
  std::string id;
  std::uint32_t order = 0;
  Millis first_token_target = 440;
  Millis token_gap_target = 47;
  Millis start_deadline = 10 * kSecond;
  double floor = 0;
  double headroom = 0;

  bool operator==(const RankPolicy&) const = default;
};

// A client account. The first of its ranks is the default, and `share` is its
// weight within a rank.
struct CallerPolicy {
  std::string id;
  std::string key_sha256;
  double share = 1;
  std::vector<std::string> ranks;
  std::uint32_t max_queued = 0;
  std::uint32_t max_running = 0;

  bool operator==(const CallerPolicy&) const = default;
};

// Method and path prefix of calls that may be executed at most once.
struct NonRepeatableCall {
  std::string method;
  std::string path_prefix;

  bool operator==(const NonRepeatableCall&) const = default;
};

// A service that requests are routed to: a model service or a plain service.
struct ServicePolicy {
  std::string id;
  bool is_model = false;
  std::vector<std::string> models;
  std::vector<NonRepeatableCall> non_repeatable;
  bool checks_fencing = false;
  Millis request_timeout = 30 * kSecond;

  bool operator==(const ServicePolicy&) const = default;
};

// A model version that endpoints of a service in one availability zone should
// run, with its adapters and number of copies.
struct PlacePolicy {
  std::string zone;
  std::string service;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  std::uint32_t copies = 0;

  bool operator==(const PlacePolicy&) const = default;
};

// The complete configuration at one revision. Ranks are sorted by `order`.
struct FleetConfig {
  std::uint64_t revision = 0;
  std::uint64_t sheet_serial = 0;
  std::string deployment;
  std::vector<RankPolicy> ranks;
  std::vector<CallerPolicy> callers;
  std::vector<ServicePolicy> services;
  std::vector<PlacePolicy> places;
  // Ids of endpoints and entry VMs that operators took out of service.
  std::vector<std::string> drained;

  bool operator==(const FleetConfig&) const = default;
};

template <class F>
auto inspect(F& f, RankPolicy& x) {
  return f(x.id, x.order, x.first_token_target, x.token_gap_target,
           x.start_deadline, x.floor, x.headroom);
}
template <class F>
auto inspect(F& f, CallerPolicy& x) {
  return f(x.id, x.key_sha256, x.share, x.ranks, x.max_queued, x.max_running);
}
template <class F>
auto inspect(F& f, NonRepeatableCall& x) {
  return f(x.method, x.path_prefix);
}
template <class F>
auto inspect(F& f, ServicePolicy& x) {
  return f(x.id, x.is_model, x.models, x.non_repeatable, x.checks_fencing,
           x.request_timeout);
}
template <class F>
auto inspect(F& f, PlacePolicy& x) {
  return f(x.zone, x.service, x.model, x.version, x.adapters, x.copies);
}
template <class F>
auto inspect(F& f, FleetConfig& x) {
  return f(x.revision, x.sheet_serial, x.deployment, x.ranks, x.callers,
           x.services, x.places, x.drained);
}

// Converts `config` to plain values.
FleetConfig fleet_config_from(const proto::Config& config);

// Return the rank, caller or service with `id`, or null.
const RankPolicy* find_rank(const FleetConfig& config, const std::string& id);
const CallerPolicy* find_caller(const FleetConfig& config,
                                const std::string& id);
const ServicePolicy* find_service(const FleetConfig& config,
                                  const std::string& id);

// Returns the share of the caller, or 1 if the caller is unknown.
double caller_share(const FleetConfig& config, const std::string& caller);

// Returns the caller whose key has the hash `key_sha256`, or null. Hashes are
// compared in constant time.
const CallerPolicy* find_caller_by_key(const FleetConfig& config,
                                       const std::string& key_sha256);

// Returns the service that serves `model`, or null.
const ServicePolicy* find_service_of_model(const FleetConfig& config,
                                           const std::string& model);

// Returns whether operators have drained the endpoint or VM `id`.
bool is_drained(const FleetConfig& config, const std::string& id);

// Returns whether a call with `method` and `path` may be executed at most once.
bool is_non_repeatable(const ServicePolicy& service, const std::string& method,
                       const std::string& path);

}  // namespace peridotreach
