#ifndef DRAGONFLYLOCK_SETTINGS_DAEMONSETTINGS_H
#define DRAGONFLYLOCK_SETTINGS_DAEMONSETTINGS_H

#include "global/error.h"
#include "global/ilogger.h"
#include "global/socketaddress.h"
#include "platformservices/platformtypes.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace dragonflylock {

class SettingSource;

/// An instance of the embedded platform and its initial pool.
struct EmbeddedInstance {
  ListedInstance Listed_;
  std::string Pool_;
};

/// The settings of one daemon.
struct DaemonSettings {
  std::string Name_;
  std::string Zone_;
  SocketAddress Callers_;
  SocketAddress Operators_;
  SocketAddress PeerListen_;
  std::vector<SocketAddress> Peers_;
  /// Base URL; empty for the embedded platform.
  std::string PlatformUrl_;
  std::vector<EmbeddedInstance> EmbeddedInstances_;
  /// Path of the embedded platform's initial configuration; may be empty.
  std::string EmbeddedConfiguration_;
  std::chrono::milliseconds PollInterval_{500};
  std::chrono::milliseconds PlatformTimeout_{2000};
  /// Minimum time between two transactions for claims.
  std::chrono::milliseconds ClaimInterval_{20};
  /// Time after SIGTERM during which requests are still accepted.
  std::chrono::milliseconds DrainGrace_{3000};
  /// Memory that the process may use, in MB; 0 if not known.
  std::uint64_t MemoryLimitMb_ = 0;
  /// Descriptors that the process may use; 0 if not known.
  std::uint64_t MaxDescriptors_ = 0;
  /// Path of the trace file to record; empty if no trace is recorded.
  std::string Trace_;
  LogLevel LogLevel_ = LogLevel::Info;
  /// Empty if operators need no token.
  std::string OperatorToken_;
  /// Empty if peers need no secret.
  std::string PeerSecret_;
  /// Notices about unprotected ports that were restricted to the loopback
  /// address.
  std::vector<std::string> Notices_;
};

/// The settings as read, with all faults found. The settings are usable only
/// if there are no faults.
struct DaemonSettingsResult {
  DaemonSettings Settings_;
  std::vector<Error> Faults_;
};

/// Reads and checks all settings of a daemon.
DaemonSettingsResult readDaemonSettings(const SettingSource &Source);

} // namespace dragonflylock

#endif
