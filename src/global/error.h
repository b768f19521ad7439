#ifndef DRAGONFLYLOCK_GLOBAL_ERROR_H
#define DRAGONFLYLOCK_GLOBAL_ERROR_H

#include <string>
#include <system_error>

namespace dragonflylock {

/// A typed failure: its kind, what happened, and what to do about it.
class Error {
public:
  /// \param Kind the kind, an enumerator of one of the `*Errc` enumerations.
  /// \param Detail what happened, with the values involved.
  /// \param Remedy what the reader can do about it.
  Error(std::error_code Kind, std::string Detail, std::string Remedy);

  /// \returns the kind, for comparison with an `*Errc` enumerator.
  const std::error_code &kind() const { return Kind_; }
  /// \returns what happened.
  const std::string &detail() const { return Detail_; }
  /// \returns what the reader can do about it.
  const std::string &remedy() const { return Remedy_; }
  /// \returns kind, detail and remedy as one line.
  std::string message() const;

private:
  std::error_code Kind_;
  std::string Detail_;
  std::string Remedy_;
};

} // namespace dragonflylock

#endif
