// The generated code does not have these fields, so they are written by number.

#include "peridot-router/endpoint_speed_cell.h"

#include <google/protobuf/unknown_field_set.h>

#include <string>

#include "fleet.pb.h"

namespace peridotreach {
namespace {

using google::protobuf::UnknownField;
using google::protobuf::UnknownFieldSet;

constexpr int kSpeedsField = 22;
constexpr int kEndpointField = 1;
constexpr int kEventGroupField = 2;
constexpr int kPrefillField = 3;

ObservedSpeed decode_cell(const UnknownFieldSet& cell) {
  ObservedSpeed observed;
  for (int i = 0; i < cell.field_count(); ++i) {
    const UnknownField& field = cell.field(i);
    const bool is_text = field.type() == UnknownField::TYPE_LENGTH_DELIMITED;
    const bool is_number = field.type() == UnknownField::TYPE_VARINT;
    if (is_text && field.number() == kEndpointField)
      observed.endpoint = field.length_delimited();
    if (is_number && field.number() == kEventGroupField)
      observed.speed.event_group_ms =
          static_cast<std::uint32_t>(field.varint());
    if (is_number && field.number() == kPrefillField)
      observed.speed.prefill_ms = static_cast<std::uint32_t>(field.varint());
  }
  return observed;
}

}  // namespace

void encode_speeds(const std::vector<ObservedSpeed>& speeds,
                   proto::RoutingDigest& message) {
  if (speeds.empty()) return;
  UnknownFieldSet& fields =
      *message.GetReflection()->MutableUnknownFields(&message);
  for (const ObservedSpeed& observed : speeds) {
    UnknownFieldSet cell;
    cell.AddLengthDelimited(kEndpointField, observed.endpoint);
    cell.AddVarint(kEventGroupField, observed.speed.event_group_ms);
    cell.AddVarint(kPrefillField, observed.speed.prefill_ms);
    std::string bytes;
    cell.SerializeToString(&bytes);
    fields.AddLengthDelimited(kSpeedsField, bytes);
  }
}

std::vector<ObservedSpeed> decode_speeds(const proto::RoutingDigest& message) {
  std::vector<ObservedSpeed> speeds;
  const UnknownFieldSet& fields =
      message.GetReflection()->GetUnknownFields(message);
  for (int i = 0; i < fields.field_count(); ++i) {
    const UnknownField& field = fields.field(i);
    if (field.number() != kSpeedsField) continue;
    if (field.type() != UnknownField::TYPE_LENGTH_DELIMITED) continue;
    UnknownFieldSet cell;
    if (!cell.ParseFromString(field.length_delimited())) continue;
    ObservedSpeed observed = decode_cell(cell);
    if (!observed.endpoint.empty()) speeds.push_back(std::move(observed));
  }
  return speeds;
}

}  // namespace peridotreach
