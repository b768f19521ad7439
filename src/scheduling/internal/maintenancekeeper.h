#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_MAINTENANCEKEEPER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_MAINTENANCEKEEPER_H

#include "scheduling/controlrows.h"
#include "scheduling/machinecalls.h"
#include "scheduling/schedulingtypes.h"
#include "scheduling/storetypes.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

class ActiveJob;
class Dispatcher;
class IMachineControl;
class MachineLedger;
class MachineLister;
class WorkerSession;
struct PoolState;
struct StoreRange;
struct TaskRun;

/// Brings the machines of one pool through maintenance waves. The owners of
/// all pools share one row a wave, which holds the machines that are down, so
/// that together they keep to the wave's limit.
class MaintenanceKeeper
    : public std::enable_shared_from_this<MaintenanceKeeper> {
public:
  MaintenanceKeeper(PoolState &Pool, Dispatcher &Starts,
                    IMachineControl &Machines, MachineLister &List,
                    MachineLedger &Ledger)
      : Pool_(Pool), Starts_(Starts), Machines_(Machines), List_(List),
        Ledger_(Ledger) {}

  void onWaves(const std::vector<MaintenanceWave> &Waves);
  /// Keeps starts off machines that are to go down or are down; to be called
  /// before tasks are started, since workers appear at any time.
  void reserveMachines();
  void tick();

private:
  struct Order {
    /// Lifetime of the worker that the machine had; empty for none.
    std::string Lifetime_;
    /// Whether an earlier order may have been carried out already; the
    /// platform then accepts this one without doing anything.
    bool IsRepeat_ = false;
    /// When the platform accepted the order; absent until then.
    std::optional<TimePoint> AcceptedAt_;
  };
  struct Wave {
    MaintenanceWave Asked_;
    WaveProgress Row_;
    StoreVersion Version_ = 0;
    bool IsLoaded_ = false;
    bool IsBusy_ = false;
    bool IsCompleted_ = false;
    bool IsReported_ = false;
    TimePoint FirstSeen_;
    TimePoint NextLoad_;
    /// Machine that is being emptied for its maintenance; empty for none.
    std::string Next_;
    TimePoint ReservedAt_;
    TimePoint NextEvacuation_;
    /// Machines that this owner has ordered down.
    std::map<std::string, Order> Ordered_;
  };

  void advance(Wave &Each);
  void load(Wave &Each);
  void onLoaded(std::uint64_t Number, const StoreRange &Read);
  /// \returns time since the wave was seen first.
  std::chrono::milliseconds spent(const Wave &Each) const;
  /// \returns time until the wave is due.
  std::chrono::milliseconds timeLeft(const Wave &Each) const;
  /// \returns whether another machine of the pool is to go down now: no more
  /// than needed to be done in time, and none while the pool lacks machines
  /// and time is left.
  bool mayTakeNext(const Wave &Each) const;
  void chooseNext(Wave &Each);
  void claim(Wave &Each, const std::string &Name, bool IsRepeat);
  /// \returns whether the order was sent.
  bool order(Wave &Each, const std::string &Name, bool IsRepeat);
  bool mayOrder(const std::string &Name) const;
  void onOrdered(std::uint64_t Number, const std::string &Name,
                 MachineOutcome Outcome);
  /// Takes the worker's tasks for not at work until it lists them again.
  void doubtRuns(const WorkerSession &Session);
  void releaseReturned(Wave &Each);
  /// \param Announced machine that an order is announced for; empty for none.
  void store(Wave &Each, const WaveProgress &Next, const std::string &Announced,
             const std::function<void(Wave &)> &Then);
  void report(Wave &Each);
  bool isComplete(const Wave &Each) const;
  bool isReady(const Wave &Each, const std::string &Name);
  bool isAtWork(const TaskRun &Run) const;
  /// \returns the tasks of the step, among those that \p IsCounted picks, that
  /// are not at work.
  std::uint32_t
  countAway(const ActiveJob &Job, const TaskName &Task,
            const std::function<bool(const TaskName &, const TaskRun &)>
                &IsCounted) const;
  bool keepsBudgets(const WorkerSession &Session);
  void evacuate(WorkerSession &Session);
  /// \returns whether the budgets allow to take it down now; where they do
  /// not, a task is moved away.
  bool readyForOrder(const std::string &Name);
  std::chrono::milliseconds patience(const Wave &Each) const;
  WorkerSession *sessionOf(const std::string &Name);

  PoolState &Pool_;
  Dispatcher &Starts_;
  IMachineControl &Machines_;
  MachineLister &List_;
  MachineLedger &Ledger_;
  std::map<std::uint64_t, Wave> Waves_;
};

} // namespace dragonflylock

#endif
