#include "runtime/json.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <cstdlib>

namespace peridotreach {

Result<json::object> parse_object(const std::string& text) {
  json::error_code ec;
  json::value parsed = json::parse(text, ec);
  if (ec || !parsed.is_object()) {
    return Error{ErrorKind::kInvalidInput,
                 ec ? "malformed JSON: " + ec.message()
                    : "the JSON value is not an object",
                 "provide a single JSON object"};
  }
  return std::move(parsed.as_object());
}

std::string string_member(const json::object& object, const char* name) {
  const json::value* found = object.if_contains(name);
  if (found == nullptr || !found->is_string()) return {};
  return std::string(found->as_string());
}

double double_member(const json::object& object, const char* name) {
  const json::value* found = object.if_contains(name);
  if (found == nullptr) return 0;
  if (found->is_string()) {
    return std::strtod(found->as_string().c_str(), nullptr);
  }
  if (!found->is_number()) return 0;
  json::error_code ec;
  const auto number = found->to_number<double>(ec);
  return ec ? 0 : number;
}

std::int64_t int_member(const json::object& object, const char* name) {
  const json::value* found = object.if_contains(name);
  if (found == nullptr) return 0;
  if (found->is_string()) {
    return std::strtoll(found->as_string().c_str(), nullptr, 10);
  }
  if (found->is_int64()) return found->as_int64();
  if (found->is_uint64()) {
    return static_cast<std::int64_t>(found->as_uint64());
  }
  // Doubles outside of this range cannot be converted.
  constexpr double kLimit = 9.2e18;
  const double number = double_member(object, name);
  return static_cast<std::int64_t>(std::clamp(number, -kLimit, kLimit));
}

bool bool_member(const json::object& object, const char* name) {
  const json::value* found = object.if_contains(name);
  return found != nullptr && found->is_bool() && found->as_bool();
}

const json::object& object_member(const json::object& object,
                                  const char* name) {
  static const json::object kEmpty;
  const json::value* found = object.if_contains(name);
  return found != nullptr && found->is_object() ? found->as_object() : kEmpty;
}

const json::array& array_member(const json::object& object, const char* name) {
  static const json::array kEmpty;
  const json::value* found = object.if_contains(name);
  return found != nullptr && found->is_array() ? found->as_array() : kEmpty;
}

}  // namespace peridotreach
