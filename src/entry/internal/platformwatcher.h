#ifndef DRAGONFLYLOCK_ENTRY_INTERNAL_PLATFORMWATCHER_H
#define DRAGONFLYLOCK_ENTRY_INTERNAL_PLATFORMWATCHER_H

#include "entry/entrytypes.h"
#include "global/signal.h"
#include "platformservices/platformtypes.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <thread>

namespace dragonflylock {

class IEntryMetrics;
class ILogger;
class IPlatform;

/// The thread that polls the platform for the configuration, the rows of the
/// instances and the list of instances.
class PlatformWatcher {
public:
  /// What this entry instance registers as.
  struct Registration {
    std::string Name_;
    std::string Zone_;
    std::string Boot_;
  };
  /// Receives news.
  /// \returns whether it was taken in; if not, it is read again.
  using Receiver = std::function<bool(PlatformEvent)>;

  /// \param Self registered before the rows of the instances are read.
  /// \param Platform is used by the watcher's thread alone.
  /// \param Metrics, Logger must outlive the watcher.
  PlatformWatcher(Registration Self, std::shared_ptr<IPlatform> Platform,
                  std::chrono::milliseconds Interval, Receiver OnNews,
                  const IClock &Clock, IEntryMetrics &Metrics, ILogger &Logger);
  ~PlatformWatcher();

  /// Starts the thread.
  void start();
  /// Ends the thread.
  void stop();

private:
  void run();
  void pollOnce();
  bool registerEntry();
  bool pollConfiguration();
  bool pollRows();
  bool pollList();
  void noteFailure(const Error &Failure);

  Registration Self_;
  std::shared_ptr<IPlatform> Platform_;
  std::chrono::milliseconds Interval_;
  Receiver OnNews_;
  const IClock &Clock_;
  IEntryMetrics &Metrics_;
  ILogger &Logger_;
  Signal Signal_;
  TableRevision ConfigurationRevision_ = 0;
  TableRevision RowsRevision_ = 0;
  /// Tag of the list that was handed on last.
  std::string ListTag_;
  bool IsRegistered_ = false;
  bool IsPlatformUp_ = true;
  std::atomic<bool> IsStopping_ = false;
  std::thread Thread_;
};

} // namespace dragonflylock

#endif
