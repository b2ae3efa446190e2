#include "runtime/json_sheet.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/util/json_util.h>

#include "libperidotreach/sheet_check.h"
#include "runtime/json.h"
#include "sheet.pb.h"

namespace peridotreach {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;

std::string join_path(const std::string& path, std::string_view name) {
  return path.empty() ? std::string(name) : path + "." + std::string(name);
}

const char* expected_type(const FieldDescriptor& field) {
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
      return "a string";
    case FieldDescriptor::CPPTYPE_BOOL:
      return "true or false";
    case FieldDescriptor::CPPTYPE_MESSAGE:
      return "an object";
    case FieldDescriptor::CPPTYPE_ENUM:
      return "one of the enum names documented for this field";
    default:
      return "a number";
  }
}

bool has_type(const json::value& value, const FieldDescriptor& field) {
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
      return value.is_string();
    case FieldDescriptor::CPPTYPE_BOOL:
      return value.is_bool();
    case FieldDescriptor::CPPTYPE_MESSAGE:
      return value.is_object();
    case FieldDescriptor::CPPTYPE_ENUM:
      return value.is_string() &&
             field.enum_type()->FindValueByName(
                 std::string(value.as_string())) != nullptr;
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return value.is_number();
    default:
      return (value.is_int64() && value.as_int64() >= 0) || value.is_uint64();
  }
}

void check_object(const json::object& object, const Descriptor& type,
                  const std::string& path, std::vector<SheetFault>& faults);

void check_value(const json::value& value, const FieldDescriptor& field,
                 const std::string& path, std::vector<SheetFault>& faults) {
  if (!has_type(value, field)) {
    faults.push_back({path, "has the wrong type",
                      std::string("write ") + expected_type(field)});
    return;
  }
  if (field.cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE) return;
  check_object(value.as_object(), *field.message_type(), path, faults);
}

void check_object(const json::object& object, const Descriptor& type,
                  const std::string& path, std::vector<SheetFault>& faults) {
  for (const auto& member : object) {
    const std::string member_path = join_path(path, member.key());
    const FieldDescriptor* field =
        type.FindFieldByName(std::string(member.key()));
    if (field == nullptr) {
      faults.push_back({member_path,
                        "is not a field of the configuration sheet",
                        "remove it or correct its name"});
      continue;
    }
    if (!field->is_repeated()) {
      check_value(member.value(), *field, member_path, faults);
      continue;
    }
    if (!member.value().is_array()) {
      faults.push_back({member_path, "is not a list", "write a JSON array"});
      continue;
    }
    int index = 0;
    for (const json::value& item : member.value().as_array()) {
      check_value(item, *field,
                  member_path + "[" + std::to_string(index++) + "]", faults);
    }
  }
}

}  // namespace

std::vector<SheetFault> read_sheet(const std::string& text,
                                   proto::Sheet& sheet) {
  std::vector<SheetFault> faults;
  const Result<json::object> parsed = parse_object(text);
  if (!ok(parsed)) {
    return {{"", error(parsed).message, error(parsed).remedy}};
  }
  check_object(value(parsed), *proto::Sheet::descriptor(), "", faults);
  if (!faults.empty()) return faults;
  const auto status = google::protobuf::util::JsonStringToMessage(text, &sheet);
  if (!status.ok()) {
    const std::string message = status.ToString();
    return {{"", message, "correct the configuration sheet"}};
  }
  return check_sheet(sheet);
}

}  // namespace peridotreach
