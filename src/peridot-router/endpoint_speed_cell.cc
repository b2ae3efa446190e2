#include "peridot-router/endpoint_speed_cell.h"

#include "fleet.pb.h"

namespace peridotreach {

void encode_speeds(const std::vector<ObservedSpeed>& speeds,
                   proto::RoutingDigest& message) {
  for (const ObservedSpeed& observed : speeds) {
    proto::EndpointSpeedCell& cell = *message.add_speeds();
    cell.set_endpoint(observed.endpoint);
    cell.set_event_group_ms(observed.speed.event_group_ms);
    cell.set_prefill_ms(observed.speed.prefill_ms);
  }
}

std::vector<ObservedSpeed> decode_speeds(const proto::RoutingDigest& message) {
  std::vector<ObservedSpeed> speeds;
  for (const proto::EndpointSpeedCell& cell : message.speeds()) {
    if (cell.endpoint().empty()) continue;
    speeds.push_back(
        {cell.endpoint(), {cell.event_group_ms(), cell.prefill_ms()}});
  }
  return speeds;
}

}  // namespace peridotreach
