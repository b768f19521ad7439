#ifndef DRAGONFLYLOCK_APP_SCHEDULERDAEMON_H
#define DRAGONFLYLOCK_APP_SCHEDULERDAEMON_H

#include "global/iclock.h"
#include "global/result.h"
#include "platform/settingsfile.h"

#include <memory>
#include <string>

namespace dragonflylock {

class ILogger;

/// A node on the users' platform: its ports, its threads and what it decides.
class SchedulerDaemon {
public:
  /// Collects what a node is made of.
  class Builder {
  public:
    Builder &settings(PlatformSettings Value);
    /// \param Value must outlive the daemon.
    Builder &logger(ILogger &Value);
    std::unique_ptr<SchedulerDaemon> build();

  private:
    PlatformSettings Settings_;
    ILogger *Logger_ = nullptr;
  };

  ~SchedulerDaemon();
  SchedulerDaemon(const SchedulerDaemon &) = delete;
  SchedulerDaemon &operator=(const SchedulerDaemon &) = delete;

  /// Starts all threads and listens.
  /// \returns HttpErrc::CannotListen where a port is taken.
  Result<void> start();
  /// Puts changed limits into force; addresses need a restart.
  void applySettings(const PlatformSettings &Settings);
  /// Leaves without cutting off a request: gives the pools up, states that it
  /// is not ready, answers callers until they have turned away, and stops
  /// before the platform kills the process.
  /// \param SignalledAt earliest time at which the platform can have asked the
  ///   process to stop.
  void drain(TimePoint SignalledAt);

private:
  struct Parts;
  explicit SchedulerDaemon(std::unique_ptr<Parts> Built);

  void startMetrics();

  std::unique_ptr<Parts> Parts_;
};

} // namespace dragonflylock

#endif
