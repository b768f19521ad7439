#ifndef DRAGONFLYLOCK_SETTINGS_SETTINGSOURCE_H
#define DRAGONFLYLOCK_SETTINGS_SETTINGSOURCE_H

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace dragonflylock {

/// Looks settings up: a flag wins over its environment variable.
class SettingSource {
public:
  /// Reads an environment variable.
  using Environment =
      std::function<std::optional<std::string>(const std::string &)>;

  /// \param Flags values of the flags that were given, by name without dashes.
  /// \param Variables reads the environment.
  SettingSource(std::map<std::string, std::string> Flags,
                Environment Variables);

  /// \returns the value of setting \p Name, for example "drain-grace", from
  /// the flag --drain-grace or the variable DRAGONFLYLOCK_DRAIN_GRACE.
  std::optional<std::string> find(const std::string &Name) const;
  /// \returns the value of an environment variable that has no flag.
  std::optional<std::string> secret(const std::string &Variable) const;

  /// \returns the environment variable of setting \p Name.
  static std::string environmentVariableName(const std::string &Name);
  /// \returns the environment of this process.
  static Environment processEnvironment();

private:
  std::map<std::string, std::string> Flags_;
  Environment Variables_;
};

} // namespace dragonflylock

#endif
