#ifndef DRAGONFLYLOCK_ENTRY_ENTRYERRORS_H
#define DRAGONFLYLOCK_ENTRY_ENTRYERRORS_H

#include <system_error>

namespace dragonflylock {

/// Failures of an entry instance as a whole.
enum class EntryErrc {
  /// The first configuration of the embedded platform was refused.
  BadEmbeddedConfiguration = 1,
};

/// \returns the error code of \p Kind.
std::error_code make_error_code(EntryErrc Kind);

} // namespace dragonflylock

template <>
struct std::is_error_code_enum<dragonflylock::EntryErrc> : std::true_type {};

#endif
