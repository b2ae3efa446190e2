#pragma once

// Typed errors and the result type that carries either a value or an error.

#include <string>
#include <utility>
#include <variant>

namespace peridotreach {

// Error categories that callers of the library distinguish.
enum class ErrorKind {
  kInvalidInput,
  kNotFound,
  kConflict,
  kStale,
  kUnavailable,
  kUnauthenticated,
  kTooLarge,
  kTimeout,
};

// An error. `message` describes what happened; `remedy` describes how the
// reader can resolve it.
struct Error {
  ErrorKind kind = ErrorKind::kInvalidInput;
  std::string message;
  std::string remedy;

  bool operator==(const Error&) const = default;
};

// Either a value or an error.
template <class T>
using Result = std::variant<T, Error>;

// Returns whether `result` holds a value.
template <class T>
bool ok(const Result<T>& result) {
  return std::holds_alternative<T>(result);
}

// Returns the value of `result`, which must hold one.
template <class T>
const T& value(const Result<T>& result) {
  return std::get<T>(result);
}

// Returns the error of `result`, which must hold one.
template <class T>
const Error& error(const Result<T>& result) {
  return std::get<Error>(result);
}

// Returns the name of `kind` that logs and JSON output use.
const char* error_kind_name(ErrorKind kind);

// Returns the message and remedy as one line.
std::string describe(const Error& error);

}  // namespace peridotreach
