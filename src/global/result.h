#ifndef DRAGONFLYLOCK_GLOBAL_RESULT_H
#define DRAGONFLYLOCK_GLOBAL_RESULT_H

#include "global/error.h"

#include <optional>
#include <utility>
#include <variant>

namespace dragonflylock {

/// Either a value or the error that prevented it.
template <typename T> class Result {
public:
  Result(T Value) : Content_(std::move(Value)) {}
  Result(Error Failure) : Content_(std::move(Failure)) {}

  /// \returns whether there is a value.
  explicit operator bool() const { return std::holds_alternative<T>(Content_); }
  /// \returns the value; valid only where there is one.
  T &value() & { return std::get<T>(Content_); }
  /// \returns the value; valid only where there is one.
  const T &value() const & { return std::get<T>(Content_); }
  /// \returns the value of a temporary, which then lives on in a loop's head.
  T value() && { return std::get<T>(std::move(Content_)); }
  /// \returns the error; valid only where there is no value.
  const Error &error() const { return std::get<Error>(Content_); }

private:
  std::variant<T, Error> Content_;
};

/// Success, or the error that prevented it.
template <> class Result<void> {
public:
  Result() = default;
  Result(Error Failure) : Failure_(std::move(Failure)) {}

  /// \returns whether the operation succeeded.
  explicit operator bool() const { return !Failure_.has_value(); }
  /// \returns the error; valid only where the operation failed.
  const Error &error() const { return *Failure_; }

private:
  std::optional<Error> Failure_;
};

} // namespace dragonflylock

#endif
