#ifndef DRAGONFLYLOCK_GLOBAL_LOGEVENT_H
#define DRAGONFLYLOCK_GLOBAL_LOGEVENT_H

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflylock {

/// Builds one line of key=value pairs.
class LogEvent {
public:
  /// \param Name the event, for example "request.answered".
  explicit LogEvent(std::string_view Name);

  /// Appends a text; it is quoted where it holds blanks or quotes.
  LogEvent &with(std::string_view Key, std::string_view Value);
  /// Appends a whole number.
  LogEvent &with(std::string_view Key, std::uint64_t Value);
  /// Appends a duration in milliseconds with its unit.
  LogEvent &with(std::string_view Key, std::chrono::microseconds Value);

  /// \returns the name of the event.
  const std::string &name() const { return Name_; }
  /// \returns the line built so far.
  const std::string &line() const { return Line_; }

private:
  std::string Name_;
  std::string Line_;
};

} // namespace dragonflylock

#endif
