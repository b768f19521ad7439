#ifndef DRAGONFLYLOCK_SETTINGS_SETTINGSOURCE_H
#define DRAGONFLYLOCK_SETTINGS_SETTINGSOURCE_H

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace dragonflylock {

/// Looks up settings in flags and environment variables; a flag takes
/// precedence over its environment variable.
class SettingSource {
public:
  /// Returns the value of an environment variable, if it is set.
  using Environment =
      std::function<std::optional<std::string>(const std::string &)>;

  /// \param Flags values of the given flags, by name without leading dashes.
  /// \param Variables looks up an environment variable.
  SettingSource(std::map<std::string, std::string> Flags,
                Environment Variables);

  /// \returns the value of setting \p Name, for example "drain-grace", from
  /// the flag --drain-grace or the variable DRAGONFLYLOCK_DRAIN_GRACE.
  std::optional<std::string> find(const std::string &Name) const;
  /// \returns the value of a secret. Secrets are read from environment
  /// variables only and have no flag.
  std::optional<std::string> secret(const std::string &Variable) const;

  /// \returns the name of the environment variable for setting \p Name.
  static std::string environmentVariableName(const std::string &Name);
  /// \returns a lookup in the environment of this process.
  static Environment processEnvironment();

private:
  std::map<std::string, std::string> Flags_;
  Environment Variables_;
};

} // namespace dragonflylock

#endif
