#pragma once

// Small helpers over Boost.JSON for messages of other systems, which may be
// malformed.

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <string>

#include "libperidotreach/error.h"

namespace peridotreach {

namespace json = boost::json;

// Parses one JSON object.
Result<json::object> parse_object(const std::string& text);

// Returns the member `name` as text, number or truth; a default if it is
// absent or of another type. Numbers may stand in text, as etcd writes them.
std::string text_member(const json::object& from, const char* name);
std::int64_t number_member(const json::object& from, const char* name);
double real_member(const json::object& from, const char* name);
bool truth_member(const json::object& from, const char* name);

// Returns the member `name` as an object or array, empty if it is none.
const json::object& object_member(const json::object& from, const char* name);
const json::array& array_member(const json::object& from, const char* name);

}  // namespace peridotreach
