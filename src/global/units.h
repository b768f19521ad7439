#ifndef DRAGONFLYLOCK_GLOBAL_UNITS_H
#define DRAGONFLYLOCK_GLOBAL_UNITS_H

#include "global/result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflylock {

/// Reads a duration such as "250ms", "5s", "10min" or "3h".
/// \returns the duration, or UnitErrc::NotADuration.
Result<std::chrono::milliseconds> parseDuration(std::string_view Text);

/// Reads a size such as "512B", "16KiB" or "4MiB".
/// \returns the size in bytes, or UnitErrc::NotASize.
Result<std::uint64_t> parseSize(std::string_view Text);

/// Reads a percentage such as "20%".
/// \returns a share between 0 and 1, or UnitErrc::NotAPercentage.
Result<double> parsePercentage(std::string_view Text);

/// Reads a whole number of decimal digits.
/// \returns the number, or UnitErrc::NotANumber.
Result<std::uint64_t> parseNumber(std::string_view Text);

/// \returns \p Duration in the largest unit that loses nothing.
std::string formatDuration(std::chrono::milliseconds Duration);

} // namespace dragonflylock

#endif
