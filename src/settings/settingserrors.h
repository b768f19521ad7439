#ifndef DRAGONFLYLOCK_SETTINGS_SETTINGSERRORS_H
#define DRAGONFLYLOCK_SETTINGS_SETTINGSERRORS_H

#include <system_error>

namespace dragonflylock {

/// Errors in the settings of a process.
enum class SettingsErrc { Missing = 1, Malformed, Contradictory };

std::error_code make_error_code(SettingsErrc Kind);

} // namespace dragonflylock

template <>
struct std::is_error_code_enum<dragonflylock::SettingsErrc> : std::true_type {};

#endif
