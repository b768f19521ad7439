#ifndef DRAGONFLYLOCK_SETTINGS_INTERNAL_DAEMONSETTINGSREADER_H
#define DRAGONFLYLOCK_SETTINGS_INTERNAL_DAEMONSETTINGSREADER_H

#include "settings/daemonsettings.h"
#include "settings/settingserrors.h"

#include <string>

namespace dragonflylock {

/// Collects the settings of a daemon and their faults.
class DaemonSettingsReader {
public:
  explicit DaemonSettingsReader(const SettingSource &Source);

  /// \returns the settings with all faults.
  DaemonSettingsResult read();

private:
  void readIdentity();
  void readAddresses();
  void readPlatform();
  void readDurations();
  void readLog();
  void readSecrets();
  void restrictToLoopback(SocketAddress &Address, const std::string &PortName,
                          const std::string &Variable);

  std::string required(const std::string &Name, const std::string &Example);
  std::string optional(const std::string &Name);
  SocketAddress address(const std::string &Name, const std::string &Default);
  std::chrono::milliseconds duration(const std::string &Name,
                                     std::chrono::milliseconds Default,
                                     std::chrono::milliseconds Min);
  void readEmbeddedInstance(const std::string &Text);
  void addError(SettingsErrc Kind, const std::string &Name,
                const std::string &Detail, const std::string &Remedy);

  const SettingSource &Source_;
  DaemonSettingsResult Result_;
};

} // namespace dragonflylock

#endif
