#ifndef DRAGONFLYLOCK_CONFIGURATION_POOLSETTING_H
#define DRAGONFLYLOCK_CONFIGURATION_POOLSETTING_H

#include "configuration/configurationtypes.h"
#include "global/result.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dragonflylock {

/// Describes one setting of a pool: its name, unit, range and place.
class PoolSetting {
public:
  using DurationMember = std::chrono::milliseconds PoolSettings::*;
  using ShareMember = double PoolSettings::*;
  struct SizeMember {
    std::uint64_t PoolSettings::*Field_;
  };
  struct CountMember {
    std::uint64_t PoolSettings::*Field_;
  };
  using Member =
      std::variant<DurationMember, ShareMember, SizeMember, CountMember>;

  /// \param Name the key in the configuration document.
  /// \param Place the member that holds the value.
  /// \param Lowest, Highest the range, in milliseconds, bytes, percent or
  /// units.
  PoolSetting(std::string Name, Member Place, double Lowest, double Highest);

  /// \returns the key in the configuration document.
  const std::string &name() const { return Name_; }

  /// Reads \p Text into \p Settings.
  /// \returns ConfigurationErrc::WrongUnit or ConfigurationErrc::OutOfRange.
  Result<void> assign(PoolSettings &Settings, std::string_view Text) const;

  /// \returns the value in \p Settings with its unit.
  std::string format(const PoolSettings &Settings) const;

  /// \returns all settings.
  static const std::vector<PoolSetting> &all();
  /// \returns the setting of that name, or null.
  static const PoolSetting *find(std::string_view Name);

private:
  Result<double> parse(std::string_view Text) const;
  void store(PoolSettings &Settings, double Amount) const;

  std::string Name_;
  Member Place_;
  double Lowest_;
  double Highest_;
};

} // namespace dragonflylock

#endif
