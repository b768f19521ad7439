#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_MAINTENANCEMANAGER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_MAINTENANCEMANAGER_H

#include "scheduling/controlrows.h"
#include "scheduling/machinetypes.h"
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
class MachineOrderTracker;
class MachineListCache;
class WorkerSession;
struct PoolState;
struct StoreRange;
struct TaskRun;

/// Takes the machines of one pool down for the maintenance waves. The owners of
/// all pools share one control row per wave, which lists the machines that are
/// down, so that together they respect the wave's limit.
class MaintenanceManager
    : public std::enable_shared_from_this<MaintenanceManager> {
public:
  MaintenanceManager(PoolState &Pool, Dispatcher &TaskDispatcher,
                     IMachineControl &Machines, MachineListCache &List,
                     MachineOrderTracker &OrderTracker)
      : Pool_(Pool), Dispatcher_(TaskDispatcher), Machines_(Machines),
        MachineList_(List), OrderTracker_(OrderTracker) {}

  void onWaves(const std::vector<MaintenanceWave> &Waves);
  /// Reserves the workers of machines that are down or about to be taken down,
  /// so that no tasks are started there, and releases all other workers. Must
  /// be called before tasks are started, since workers appear at any time.
  void updateReservations();
  void tick();
  /// \returns whether an open wave includes the machine and has not maintained
  /// it yet.
  bool isDue(const std::string &Machine) const;

private:
  struct Order {
    /// Lifetime of the worker that ran on the machine; empty for none.
    std::string Lifetime_;
    /// Whether an earlier order may already have been executed; the platform
    /// then accepts this one without doing anything.
    bool IsRepeat_ = false;
    /// When the platform accepted the order; empty until then.
    std::optional<TimePoint> AcceptedAt_;
  };
  struct WaveState {
    MaintenanceWave Request_;
    WaveProgress Progress_;
    StoreVersion Version_ = 0;
    bool IsLoaded_ = false;
    /// Whether the row could be decoded. Without its progress, machines would
    /// be ordered again.
    bool IsReadable_ = true;
    bool IsBusy_ = false;
    bool IsCompleted_ = false;
    bool IsReported_ = false;
    /// Start of the wave, from which its duration counts. It may be before this
    /// owner's term.
    TimePoint FirstSeen_;
    /// When this owner learned of the machines. Only a list that was requested
    /// since then shows which of them have left.
    TimePoint MachinesSeenAt_;
    TimePoint RequestStartedAt_;
    TimePoint NextLoad_;
    /// Nothing is done for the wave before, since a call has failed.
    TimePoint NextAttempt_;
    /// Machines that are being drained for their maintenance, and since when.
    std::map<std::string, TimePoint> Draining_;
    /// Maintenance orders of this owner, by machine.
    std::map<std::string, Order> Ordered_;
  };

  void advance(WaveState &State);
  void load(WaveState &State);
  void onLoaded(std::uint64_t Number, const StoreRange &Read);
  /// \returns the time since the wave was first seen.
  std::chrono::milliseconds elapsed(const WaveState &State) const;
  /// \returns the time until the wave is due; 0 if it is overdue.
  std::chrono::milliseconds remainingTime(const WaveState &State) const;
  /// \returns whether another machine of the pool is to be drained now. No more
  /// machines are drained or down at the same time than needed to finish in
  /// time. While the pool lacks machines, one at most is drained, and none if
  /// the time allows to wait.
  bool mayChooseNext(const WaveState &State) const;
  /// \returns whether the machine is in this pool and its maintenance is not
  /// done.
  bool isPending(const WaveState &State, const std::string &Name) const;
  void chooseNextMachine(WaveState &State);
  /// Orders the maintenance of the first machine that is drained.
  void orderDrainedMachine(WaveState &State);
  void claim(WaveState &State, const std::string &Name, bool IsRepeat);
  /// \returns whether the order was sent.
  bool sendOrder(WaveState &State, const std::string &Name, bool IsRepeat);
  bool mayOrder(const std::string &Name) const;
  void onOrderFinished(std::uint64_t Number, const std::string &Name,
                       MachineOutcome Outcome);
  /// Makes the worker's tasks count as unavailable until the worker lists them
  /// again.
  void markRunsUnavailable(const WorkerSession &Session);
  /// Records machines that are up again as maintained, and repeats the claim of
  /// a machine whose order is not known to have been accepted.
  void recordReturned(WaveState &State);
  /// \param Announced machine whose order is announced with the row; empty for
  /// none.
  void store(WaveState &State, const WaveProgress &Next,
             const std::string &Announced,
             const std::function<void(WaveState &)> &OnStored);
  void report(WaveState &State);
  bool isComplete(const WaveState &State) const;
  /// \returns whether a machine that is drained since \p Since can be taken
  /// down.
  bool isReady(const WaveState &State, const std::string &Name,
               TimePoint Since);
  bool isAvailable(const TaskRun &Run) const;
  /// \returns the number of unavailable tasks of the step, among those that
  /// \p IsCounted selects.
  std::uint32_t
  countUnavailable(const ActiveJob &Job, const TaskName &Task,
                   const std::function<bool(const TaskName &, const TaskRun &)>
                       &IsCounted) const;
  bool isWithinBudgets(const WorkerSession &Session);
  void evacuate(WorkerSession &Session);
  /// Reserves the machine's worker, and stops tasks on it so that they move to
  /// other workers if taking it down now would exceed a disruption budget.
  /// \returns whether the budgets allow to take the machine down now.
  bool prepareForOrder(const std::string &Name);
  /// \returns how long to wait for a machine's runs to end by themselves.
  std::chrono::milliseconds gracePeriod(const WaveState &State) const;
  WorkerSession *sessionOf(const std::string &Name);

  PoolState &Pool_;
  Dispatcher &Dispatcher_;
  IMachineControl &Machines_;
  MachineListCache &MachineList_;
  MachineOrderTracker &OrderTracker_;
  std::map<std::uint64_t, WaveState> Waves_;
};

} // namespace dragonflylock

#endif
