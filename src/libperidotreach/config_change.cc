#include "libperidotreach/config_change.h"

#include <algorithm>
#include <charconv>
#include <vector>

#include "fleet.pb.h"

namespace peridotreach {
namespace {

// Returns a copy of `current` with the next revision and the change added to
// its history, of which the oldest entries beyond the limit are removed.
proto::Config next_revision(const proto::Config& current,
                            const ChangeMetadata& metadata,
                            const std::string& kind) {
  proto::Config next = current;
  next.set_revision(current.revision() + 1);
  proto::Change* change = next.add_changes();
  change->set_id(metadata.id);
  change->set_kind(kind);
  change->set_operator_name(metadata.operator_name);
  change->set_revision(next.revision());
  change->set_at_ms(metadata.at_ms);
  change->set_summary(metadata.summary);
  const int excess =
      next.changes_size() - static_cast<int>(kChangeHistoryLimit);
  if (excess > 0) next.mutable_changes()->DeleteSubrange(0, excess);
  return next;
}

std::vector<std::string> split_path(const std::string& path) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start <= path.size()) {
    const std::size_t slash = std::min(path.find('/', start), path.size());
    parts.push_back(path.substr(start, slash - start));
    start = slash + 1;
  }
  return parts;
}

Error unknown_path(const std::string& path) {
  return {ErrorKind::kNotFound, "unknown field path " + path,
          "use ranks/ID/FIELD, callers/ID/FIELD, places/ZONE/MODEL/FIELD or "
          "drained/ID"};
}

// Formats a number without trailing zeros after the decimal point.
std::string format_number(double number) {
  std::string text = std::to_string(number);
  while (text.back() == '0') text.pop_back();
  if (text.back() == '.') text.pop_back();
  return text;
}

// Sets the number or string field `name` of `message`. Returns its former value
// as text.
Result<std::string> set_field(google::protobuf::Message& message,
                              const std::string& name,
                              const std::string& value) {
  using google::protobuf::FieldDescriptor;
  const FieldDescriptor* field = message.GetDescriptor()->FindFieldByName(name);
  if (field == nullptr || field->is_repeated()) return unknown_path(name);
  const auto* reflection = message.GetReflection();
  if (field->cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
    std::string former = reflection->GetString(message, field);
    reflection->SetString(&message, field, value);
    return former;
  }
  double number = 0;
  const char* end = value.data() + value.size();
  const auto parsed = std::from_chars(value.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return Error{ErrorKind::kInvalidInput, "\"" + value + "\" is not a number",
                 "enter a number for " + name};
  }
  if (field->cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE) {
    const double former = reflection->GetDouble(message, field);
    reflection->SetDouble(&message, field, number);
    return format_number(former);
  }
  if (field->cpp_type() == FieldDescriptor::CPPTYPE_UINT32) {
    const std::uint32_t former = reflection->GetUInt32(message, field);
    reflection->SetUInt32(&message, field, static_cast<std::uint32_t>(number));
    return format_number(former);
  }
  return unknown_path(name);
}

template <class List>
google::protobuf::Message* find_by_id(List* list, const std::string& id) {
  for (auto& item : *list) {
    if (item.id() == id) return &item;
  }
  return nullptr;
}

google::protobuf::Message* find_place(proto::Sheet& sheet,
                                      const std::string& zone,
                                      const std::string& model) {
  for (proto::Place& place : *sheet.mutable_places()) {
    if (place.zone() == zone && place.model() == model) return &place;
  }
  return nullptr;
}

// Drains the endpoint or VM `id` if `value` is "yes" and ends its draining if
// it is "no". Returns the former value.
Result<std::string> set_drained(proto::Sheet& sheet, const std::string& id,
                                const std::string& value) {
  auto* drained = sheet.mutable_drained();
  const auto found = std::find(drained->begin(), drained->end(), id);
  const bool was_drained = found != drained->end();
  if (value != "yes" && value != "no") {
    return Error{ErrorKind::kInvalidInput,
                 "\"" + value + "\" is neither yes nor no", "enter yes or no"};
  }
  if (value == "yes" && !was_drained) sheet.add_drained(id);
  if (value == "no" && was_drained) drained->erase(found);
  return std::string(was_drained ? "yes" : "no");
}

// Applies `correction` to `sheet`. Returns the former value of the field.
Result<std::string> correct_sheet(proto::Sheet& sheet,
                                  const Correction& correction) {
  const auto parts = split_path(correction.path);
  google::protobuf::Message* target = nullptr;
  if (parts.size() == 2 && parts[0] == "drained") {
    return set_drained(sheet, parts[1], correction.value);
  }
  if (parts.size() == 3 && parts[0] == "ranks") {
    target = find_by_id(sheet.mutable_ranks(), parts[1]);
  }
  if (parts.size() == 3 && parts[0] == "callers") {
    target = find_by_id(sheet.mutable_callers(), parts[1]);
  }
  if (parts.size() == 3 && parts[0] == "services") {
    target = find_by_id(sheet.mutable_services(), parts[1]);
  }
  if (parts.size() == 4 && parts[0] == "places") {
    target = find_place(sheet, parts[1], parts[2]);
  }
  if (target == nullptr) return unknown_path(correction.path);
  return set_field(*target, parts.back(), correction.value);
}

}  // namespace

bool contains_change(const proto::Config& config, const std::string& id) {
  return std::any_of(config.changes().begin(), config.changes().end(),
                     [&](const auto& change) { return change.id() == id; });
}

Result<proto::Config> apply_sheet(const proto::Config& current,
                                  const proto::Sheet& sheet,
                                  const ChangeMetadata& metadata) {
  if (sheet.serial() <= current.sheet().serial()) {
    return Error{ErrorKind::kStale,
                 "sheet " + std::to_string(sheet.serial()) +
                     " is not newer than sheet " +
                     std::to_string(current.sheet().serial()) + " in force",
                 "export a sheet with a higher serial"};
  }
  proto::Config next = next_revision(current, metadata, "sheet");
  *next.mutable_sheet() = sheet;
  // Draining is decided by operators and not by the planners who write sheets,
  // so a new sheet does not change it.
  *next.mutable_sheet()->mutable_drained() = current.sheet().drained();
  return next;
}

Result<proto::Config> apply_correction(const proto::Config& current,
                                       const Correction& correction,
                                       const ChangeMetadata& metadata) {
  proto::Config next = next_revision(current, metadata, "correction");
  const Result<std::string> former =
      correct_sheet(*next.mutable_sheet(), correction);
  if (!ok(former)) return error(former);
  const bool has_conflict =
      !correction.expected.empty() && correction.expected != value(former);
  if (has_conflict) {
    return Error{
        ErrorKind::kConflict,
        correction.path + " is now " + value(former) + ", not the expected " +
            correction.expected,
        "check the change history, then retry with the current value as the "
        "expected one"};
  }
  return next;
}

bool supersedes(const proto::Config& next, const proto::Config& current) {
  return next.revision() > current.revision();
}

}  // namespace peridotreach
