#ifndef DRAGONFLYLOCK_SETTINGS_INTERNAL_DAEMONSETTINGSREADER_H
#define DRAGONFLYLOCK_SETTINGS_INTERNAL_DAEMONSETTINGSREADER_H

#include "settings/daemonsettings.h"
#include "settings/settingserrors.h"

#include <string>

namespace dragonflylock {

/// Reads and checks the settings of a daemon, and collects all faults instead
/// of stopping at the first.
class DaemonSettingsReader {
public:
  explicit DaemonSettingsReader(const SettingSource &Source);

  DaemonSettingsResult read();

private:
  void readIdentity();
  void readAddresses();
  void readPlatform();
  void readDurations();
  void readCapacity();
  void readLog();
  void readSecrets();
  /// Replaces the host of \p Address, unless it is loopback, by 127.0.0.1 and
  /// adds a notice, since \p Variable, which would protect the port, is not
  /// set.
  void restrictToLoopback(SocketAddress &Address, const std::string &PortName,
                          const std::string &Variable);

  /// \returns the value; adds a fault if it is missing or empty.
  std::string required(const std::string &Name, const std::string &Example);
  /// \returns the value; empty if it is not set.
  std::string optional(const std::string &Name);
  SocketAddress address(const std::string &Name, const std::string &Default);
  std::chrono::milliseconds duration(const std::string &Name,
                                     std::chrono::milliseconds Default,
                                     std::chrono::milliseconds Min);
  /// \returns the number; 0 if it is not set.
  std::uint64_t number(const std::string &Name);
  /// Reads one instance of the form ID=IP:PORT@ZONE/POOL.
  void readEmbeddedInstance(const std::string &Text);
  void addError(SettingsErrc Kind, const std::string &Name,
                const std::string &Detail, const std::string &Remedy);

  const SettingSource &Source_;
  DaemonSettingsResult Result_;
};

} // namespace dragonflylock

#endif
