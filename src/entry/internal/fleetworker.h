#ifndef DRAGONFLYLOCK_ENTRY_INTERNAL_FLEETWORKER_H
#define DRAGONFLYLOCK_ENTRY_INTERNAL_FLEETWORKER_H

#include "entry/internal/ifleetworker.h"
#include "fleet/fleetcontroller.h"
#include "fleet/retentionsweeper.h"
#include "global/boundedring.h"
#include "global/signal.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace dragonflylock {

class IEntryView;
class ILogger;
class IPlatform;

/// The thread that steers the fleet: writes acknowledgements, and runs the
/// controller and removes old rows where this entry instance is the one
/// chosen for it.
class FleetWorker : public IFleetWorker {
public:
  /// \param Name the name of this entry instance.
  /// \param Platform is used by the worker's thread alone.
  /// The other parameters must outlive the worker.
  FleetWorker(std::string Name, std::shared_ptr<IPlatform> Platform,
              const IClock &Clock, IEntryView &View, ITraceSink &Trace,
              ILogger &Logger);
  ~FleetWorker() override;

  /// Starts the thread.
  void start();
  /// Ends the thread and removes this entry instance's registration, so that
  /// nobody waits for its acknowledgements.
  void stop();
  bool acknowledge(Acknowledgement Quiet) override;

private:
  void run();
  void writeAcknowledgements();
  void steer();
  void sweep(const FleetConfiguration &Fleet);
  void removeRegistration();

  std::string Name_;
  std::shared_ptr<IPlatform> Platform_;
  IEntryView &View_;
  ILogger &Logger_;
  const IClock &Clock_;
  FleetController Controller_;
  RetentionSweeper Claims_;
  RetentionSweeper Jobs_;
  TimePoint NextSweep_;
  Signal Signal_;
  BoundedRing<Acknowledgement> Ring_;
  std::vector<Acknowledgement> Unwritten_;
  std::atomic<bool> IsStopping_ = false;
  std::thread Thread_;
};

} // namespace dragonflylock

#endif
