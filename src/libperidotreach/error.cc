#include "libperidotreach/error.h"

namespace peridotreach {

const char* error_kind_name(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidInput:
      return "invalid_input";
    case ErrorKind::kNotFound:
      return "not_found";
    case ErrorKind::kConflict:
      return "conflict";
    case ErrorKind::kStale:
      return "stale";
    case ErrorKind::kUnavailable:
      return "unavailable";
    case ErrorKind::kUnauthenticated:
      return "unauthenticated";
    case ErrorKind::kTooLarge:
      return "too_large";
    case ErrorKind::kTimeout:
      return "timeout";
  }
  return "unknown";
}

std::string describe(const Error& error) {
  return error.message + "; " + error.remedy;
}

}  // namespace peridotreach
