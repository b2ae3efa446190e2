#pragma once

// Helpers over Boost.JSON for messages of other systems, which may be malformed
// or have missing or unexpected members.

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <string>

#include "libperidotreach/error.h"

namespace peridotreach {

namespace json = boost::json;

// Parses `text`, which must be a single JSON object.
Result<json::object> parse_object(const std::string& text);

// Return the member `name` as a string, integer, floating-point number or
// boolean; an empty string, 0 or false if it is absent or of another type.
// Numbers may also be given as strings, as etcd encodes 64-bit integers.
std::string string_member(const json::object& object, const char* name);
std::int64_t int_member(const json::object& object, const char* name);
double double_member(const json::object& object, const char* name);
bool bool_member(const json::object& object, const char* name);

// Return the member `name` as an object or array; an empty one if it is absent
// or of another type.
const json::object& object_member(const json::object& object, const char* name);
const json::array& array_member(const json::object& object, const char* name);

}  // namespace peridotreach
