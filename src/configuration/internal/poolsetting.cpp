#include "configuration/poolsetting.h"
#include "configuration/configurationerrors.h"
#include "global/units.h"

#include <cmath>

namespace dragonflylock {
namespace {

constexpr double PercentPerUnit = 100.0;
constexpr double KiB = 1024.0;
constexpr double MiB = 1024.0 * KiB;
constexpr double Second = 1000.0;
constexpr double Hour = 3600.0 * Second;

template <typename T> Result<double> asAmount(Result<T> Parsed) {
  if (!Parsed)
    return Error(ConfigurationErrc::WrongUnit, Parsed.error().detail(),
                 Parsed.error().remedy());
  return static_cast<double>(Parsed.value());
}

std::string formatSize(std::uint64_t Bytes) {
  if (Bytes != 0 && Bytes % static_cast<std::uint64_t>(MiB) == 0)
    return std::to_string(Bytes / static_cast<std::uint64_t>(MiB)) + "MiB";
  if (Bytes != 0 && Bytes % static_cast<std::uint64_t>(KiB) == 0)
    return std::to_string(Bytes / static_cast<std::uint64_t>(KiB)) + "KiB";
  return std::to_string(Bytes) + "B";
}

std::string formatAmount(const PoolSetting::Member &Place, double Amount) {
  if (std::holds_alternative<PoolSetting::DurationMember>(Place))
    return formatDuration(
        std::chrono::milliseconds(static_cast<std::int64_t>(Amount)));
  if (std::holds_alternative<PoolSetting::SizeMember>(Place))
    return formatSize(static_cast<std::uint64_t>(Amount));
  std::string Number = std::to_string(std::llround(Amount));
  if (std::holds_alternative<PoolSetting::ShareMember>(Place))
    return Number + "%";
  return Number;
}

} // namespace

PoolSetting::PoolSetting(std::string Name, Member Place, double Lowest,
                         double Highest)
    : Name_(std::move(Name)), Place_(Place), Lowest_(Lowest),
      Highest_(Highest) {}

Result<double> PoolSetting::parse(std::string_view Text) const {
  if (std::holds_alternative<DurationMember>(Place_)) {
    auto Duration = parseDuration(Text);
    if (!Duration)
      return asAmount<double>(Duration.error());
    return static_cast<double>(Duration.value().count());
  }
  if (std::holds_alternative<ShareMember>(Place_)) {
    auto Share = asAmount(parsePercentage(Text));
    if (!Share)
      return Share;
    return Share.value() * PercentPerUnit;
  }
  if (std::holds_alternative<SizeMember>(Place_))
    return asAmount(parseSize(Text));
  return asAmount(parseNumber(Text));
}

void PoolSetting::store(PoolSettings &Settings, double Amount) const {
  if (const auto *Duration = std::get_if<DurationMember>(&Place_))
    Settings.**Duration =
        std::chrono::milliseconds(static_cast<std::int64_t>(Amount));
  if (const auto *Share = std::get_if<ShareMember>(&Place_))
    Settings.**Share = Amount / PercentPerUnit;
  if (const auto *Size = std::get_if<SizeMember>(&Place_))
    Settings.*(Size->Field_) = static_cast<std::uint64_t>(Amount);
  if (const auto *Count = std::get_if<CountMember>(&Place_))
    Settings.*(Count->Field_) = static_cast<std::uint64_t>(Amount);
}

Result<void> PoolSetting::assign(PoolSettings &Settings,
                                 std::string_view Text) const {
  auto Amount = parse(Text);
  if (!Amount)
    return Amount.error();
  if (Amount.value() < Lowest_ || Amount.value() > Highest_)
    return Error(ConfigurationErrc::OutOfRange,
                 Name_ + " is " + std::string(Text),
                 "choose a value from " + formatAmount(Place_, Lowest_) +
                     " to " + formatAmount(Place_, Highest_));
  store(Settings, Amount.value());
  return {};
}

std::string PoolSetting::format(const PoolSettings &Settings) const {
  if (const auto *Duration = std::get_if<DurationMember>(&Place_))
    return formatDuration(Settings.**Duration);
  if (const auto *Share = std::get_if<ShareMember>(&Place_))
    return formatAmount(Place_, Settings.**Share * PercentPerUnit);
  if (const auto *Size = std::get_if<SizeMember>(&Place_))
    return formatSize(Settings.*(Size->Field_));
  return std::to_string(Settings.*(std::get<CountMember>(Place_).Field_));
}

const std::vector<PoolSetting> &PoolSetting::all() {
  using S = PoolSettings;
  static const std::vector<PoolSetting> Settings{
      {"deadline", &S::Deadline_, 10, Hour},
      {"max-head", SizeMember{&S::MaxHead_}, 256, 64 * KiB},
      {"max-body", SizeMember{&S::MaxBody_}, 0, 64 * MiB},
      {"max-answer", SizeMember{&S::MaxAnswer_}, 0, 64 * MiB},
      {"max-attempts", CountMember{&S::MaxAttempts_}, 1, 10},
      {"retry-budget", &S::RetryBudget_, 0, PercentPerUnit},
      {"slots-per-instance", CountMember{&S::SlotsPerInstance_}, 1, 1024},
      {"queue-limit", CountMember{&S::QueueLimit_}, 0, 100'000},
      {"minimum-available", &S::MinimumAvailable_, 0, PercentPerUnit},
      {"failure-reserve", CountMember{&S::FailureReserve_}, 0, 1000},
      {"return-limit", &S::ReturnLimit_, Second, 24 * Hour},
      {"answer-retention", &S::AnswerRetention_, Second, 7 * 24 * Hour},
  };
  return Settings;
}

const PoolSetting *PoolSetting::find(std::string_view Name) {
  for (const PoolSetting &Setting : all()) {
    if (Setting.name() == Name)
      return &Setting;
  }
  return nullptr;
}

} // namespace dragonflylock
