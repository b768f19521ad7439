#include "global/units.h"
#include "global/errorcategory.h"
#include "global/globalerrors.h"

#include <array>
#include <charconv>
#include <optional>

namespace dragonflylock {
namespace {

struct Unit {
  std::string_view Suffix_;
  std::uint64_t Factor_;
};

constexpr std::array<Unit, 4> DurationUnits{
    {{"ms", 1}, {"min", 60'000}, {"s", 1'000}, {"h", 3'600'000}}};
constexpr std::array<Unit, 4> SizeUnits{
    {{"KiB", 1U << 10U}, {"MiB", 1U << 20U}, {"GiB", 1U << 30U}, {"B", 1}}};
constexpr std::uint64_t LargestAmount = 1'000'000'000;
constexpr double PercentPerUnit = 100.0;

std::optional<std::uint64_t> readDigits(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Failure] = std::from_chars(Text.data(), End, Value);
  if (Failure != std::errc() || Rest != End || Value > LargestAmount)
    return std::nullopt;
  return Value;
}

template <std::size_t N>
std::optional<std::uint64_t> readAmount(std::string_view Text,
                                        const std::array<Unit, N> &Units) {
  for (const Unit &Candidate : Units) {
    if (!Text.ends_with(Candidate.Suffix_))
      continue;
    Text.remove_suffix(Candidate.Suffix_.size());
    auto Digits = readDigits(Text);
    if (!Digits)
      return std::nullopt;
    return *Digits * Candidate.Factor_;
  }
  return std::nullopt;
}

std::string quoted(std::string_view Text) {
  return "'" + std::string(Text) + "'";
}

const char *nameOf(int Kind) {
  switch (static_cast<UnitErrc>(Kind)) {
  case UnitErrc::NotADuration:
    return "not-a-duration";
  case UnitErrc::NotASize:
    return "not-a-size";
  case UnitErrc::NotAPercentage:
    return "not-a-percentage";
  case UnitErrc::NotANumber:
    return "not-a-number";
  case UnitErrc::NotAnAddress:
    return "not-an-address";
  }
  return "unknown-unit-error";
}

} // namespace

std::error_code make_error_code(UnitErrc Kind) {
  static const ErrorCategory Category("unit", nameOf);
  return {static_cast<int>(Kind), Category};
}

Result<std::chrono::milliseconds> parseDuration(std::string_view Text) {
  auto Amount = readAmount(Text, DurationUnits);
  if (!Amount)
    return Error(UnitErrc::NotADuration, quoted(Text) + " is not a duration",
                 "write a whole number with ms, s, min or h, such as 250ms");
  return std::chrono::milliseconds(*Amount);
}

Result<std::uint64_t> parseSize(std::string_view Text) {
  auto Amount = readAmount(Text, SizeUnits);
  if (!Amount)
    return Error(UnitErrc::NotASize, quoted(Text) + " is not a size",
                 "write a whole number with B, KiB, MiB or GiB, such as 1MiB");
  return *Amount;
}

Result<double> parsePercentage(std::string_view Text) {
  std::optional<std::uint64_t> Digits;
  if (Text.ends_with('%'))
    Digits = readDigits(Text.substr(0, Text.size() - 1));
  if (!Digits || *Digits > static_cast<std::uint64_t>(PercentPerUnit))
    return Error(UnitErrc::NotAPercentage,
                 quoted(Text) + " is not a percentage",
                 "write a whole number from 0 to 100 with %, such as 20%");
  return static_cast<double>(*Digits) / PercentPerUnit;
}

Result<std::uint64_t> parseNumber(std::string_view Text) {
  auto Digits = readDigits(Text);
  if (!Digits)
    return Error(UnitErrc::NotANumber, quoted(Text) + " is not a whole number",
                 "write decimal digits without a unit, such as 8");
  return *Digits;
}

std::string formatDuration(std::chrono::milliseconds Duration) {
  constexpr std::array<Unit, 3> LargestFirst{
      {{"h", 3'600'000}, {"min", 60'000}, {"s", 1'000}}};
  auto Amount = static_cast<std::uint64_t>(Duration.count());
  for (const Unit &Candidate : LargestFirst) {
    if (Amount != 0 && Amount % Candidate.Factor_ == 0)
      return std::to_string(Amount / Candidate.Factor_) +
             std::string(Candidate.Suffix_);
  }
  return std::to_string(Amount) + "ms";
}

} // namespace dragonflylock
