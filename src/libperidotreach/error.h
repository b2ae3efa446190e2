#pragma once

// Typed errors and the result type that carries them.

#include <string>
#include <utility>
#include <variant>

namespace peridotreach {

// What went wrong, as callers of the library distinguish it.
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

// An error of one kind. `message` says what happened; `remedy` says what the
// reader can do about it.
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

// Returns the name of `kind` as logs and JSON output spell it.
const char* error_kind_name(ErrorKind kind);

// Returns message and remedy as one line.
std::string describe(const Error& error);

}  // namespace peridotreach
