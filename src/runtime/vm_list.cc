#include "runtime/vm_list.h"

#include <algorithm>

#include "runtime/clock.h"
#include "runtime/json.h"
#include "runtime/log.h"

namespace peridotreach {
namespace {

constexpr unsigned kHttpStatusOk = 200;
constexpr Millis kPollTimeout = 2 * kSecond;

// Service under which the list names peridotreach's own entry VMs.
constexpr const char* kEntryService = "peridot-entry";

EndpointInfo parse_endpoint(const json::object& from) {
  EndpointInfo info;
  info.id = string_member(from, "id");
  info.service = string_member(from, "service");
  info.zone = string_member(from, "zone");
  info.region = string_member(from, "region");
  info.address = string_member(from, "address");
  info.port = static_cast<std::uint32_t>(int_member(from, "port"));
  info.leaving = string_member(from, "state") == "leaving";
  return info;
}

VmInfo parse_entry_vm(const json::object& from) {
  VmInfo info;
  info.vm = string_member(from, "id");
  info.zone = string_member(from, "zone");
  info.region = string_member(from, "region");
  info.address = string_member(from, "address");
  info.http_port = static_cast<std::uint32_t>(int_member(from, "port"));
  info.entry_port = static_cast<std::uint32_t>(int_member(from, "entry_port"));
  info.dispatch_port =
      static_cast<std::uint32_t>(int_member(from, "dispatch_port"));
  info.leaving = string_member(from, "state") == "leaving";
  return info;
}

}  // namespace

Result<VmListing> parse_vm_list(const std::string& body) {
  const Result<json::object> parsed = parse_object(body);
  if (!ok(parsed)) return error(parsed);
  VmListing listing;
  for (const json::value& vm : array_member(value(parsed), "vms")) {
    if (!vm.is_object()) continue;
    const json::object& object = vm.as_object();
    if (string_member(object, "service") == kEntryService) {
      listing.entry_vms.push_back(parse_entry_vm(object));
      continue;
    }
    listing.endpoints.push_back(parse_endpoint(object));
  }
  std::sort(listing.endpoints.begin(), listing.endpoints.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  return listing;
}

awaitable<void> poll_vm_list(asio::io_context& io, HttpTarget target,
                             Millis interval,
                             std::function<void(const VmListing&)> on_change) {
  std::string version;
  while (true) {
    ClientRequest request;
    request.target = "/vms?since=" + version;
    const ClientResponse answer =
        co_await fetch_response(io, target, std::move(request), kPollTimeout);
    if (answer.complete && answer.status == kHttpStatusOk) {
      const Result<VmListing> listing = parse_vm_list(answer.body);
      const Result<json::object> parsed = parse_object(answer.body);
      if (ok(listing) && ok(parsed)) {
        version = string_member(value(parsed), "version");
        on_change(value(listing));
      } else {
        log(LogLevel::kWarning, "the VM list is malformed");
      }
    }
    co_await sleep_for(interval);
  }
}

}  // namespace peridotreach
