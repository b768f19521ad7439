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
  ReadSettings read();

private:
  void readIdentity();
  void readAddresses();
  void readPlatform();
  void readTimes();
  void readLog();
  void readSecrets();
  void keepLocal(SocketAddress &Address, const std::string &What,
                 const std::string &Variable);

  std::string required(const std::string &Name, const std::string &Example);
  std::string optional(const std::string &Name);
  SocketAddress address(const std::string &Name, const std::string &Default);
  std::chrono::milliseconds duration(const std::string &Name,
                                     std::chrono::milliseconds Default,
                                     std::chrono::milliseconds Lowest);
  void instance(const std::string &Text);
  void fault(SettingsErrc Kind, const std::string &Name,
             const std::string &Detail, const std::string &Remedy);

  const SettingSource &Source_;
  ReadSettings Result_;
};

} // namespace dragonflylock

#endif
