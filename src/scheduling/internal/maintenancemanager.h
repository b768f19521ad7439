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

/// Brings the machines of one pool through maintenance waves. The owners of
/// all pools share one row a wave, which holds the machines that are down, so
/// that together they keep to the wave's limit.
class MaintenanceManager
    : public std::enable_shared_from_this<MaintenanceManager> {
public:
  MaintenanceManager(PoolState &Pool, Dispatcher &TaskDispatcher,
                     IMachineControl &Machines, MachineListCache &List,
                     MachineOrderTracker &OrderTracker)
      : Pool_(Pool), Dispatcher_(TaskDispatcher), Machines_(Machines),
        MachineList_(List), OrderTracker_(OrderTracker) {}

  void onWaves(const std::vector<MaintenanceWave> &Waves);
  /// Keeps starts off machines that are to go down or are down, and off no
  /// others; to be called before tasks are started, since workers appear at any
  /// time.
  void updateReservations();
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
  struct WaveState {
    MaintenanceWave Request_;
    WaveProgress Progress_;
    StoreVersion Version_ = 0;
    bool IsLoaded_ = false;
    bool IsBusy_ = false;
    bool IsCompleted_ = false;
    bool IsReported_ = false;
    TimePoint FirstSeen_;
    TimePoint RequestStartedAt_;
    TimePoint NextLoad_;
    /// Machine that is being emptied for its maintenance; empty for none.
    std::string NextMachine_;
    TimePoint ReservedAt_;
    TimePoint NextEvacuation_;
    /// Machines that this owner has ordered down.
    std::map<std::string, Order> Ordered_;
  };

  void advance(WaveState &State);
  void load(WaveState &State);
  void onLoaded(std::uint64_t Number, const StoreRange &Read);
  /// \returns time since the wave was seen first.
  std::chrono::milliseconds elapsed(const WaveState &State) const;
  /// \returns time until the wave is due.
  std::chrono::milliseconds remainingTime(const WaveState &State) const;
  /// \returns whether another machine of the pool is to go down now: no more
  /// than needed to be done in time, and none while the pool lacks machines
  /// and time is left.
  bool mayChooseNext(const WaveState &State) const;
  /// \returns whether the machine is in this pool and has not been maintained.
  bool isPending(const WaveState &State, const std::string &Name) const;
  void chooseNextMachine(WaveState &State);
  void claim(WaveState &State, const std::string &Name, bool IsRepeat);
  /// \returns whether the order was sent.
  bool sendOrder(WaveState &State, const std::string &Name, bool IsRepeat);
  bool mayOrder(const std::string &Name) const;
  void onOrderFinished(std::uint64_t Number, const std::string &Name,
                       MachineOutcome Outcome);
  /// Takes the worker's tasks for not at work until it lists them again.
  void markRunsUnavailable(const WorkerSession &Session);
  void recordReturned(WaveState &State);
  /// \param Announced machine that an order is announced for; empty for none.
  void store(WaveState &State, const WaveProgress &Next,
             const std::string &Announced,
             const std::function<void(WaveState &)> &OnStored);
  void report(WaveState &State);
  bool isComplete(const WaveState &State) const;
  bool isReady(const WaveState &State, const std::string &Name);
  bool isAvailable(const TaskRun &Run) const;
  /// \returns the tasks of the step, among those that \p IsCounted picks, that
  /// are not at work.
  std::uint32_t
  countUnavailable(const ActiveJob &Job, const TaskName &Task,
                   const std::function<bool(const TaskName &, const TaskRun &)>
                       &IsCounted) const;
  bool isWithinBudgets(const WorkerSession &Session);
  void evacuate(WorkerSession &Session);
  /// \returns whether the budgets allow to take it down now; where they do
  /// not, a task is moved away.
  bool prepareForOrder(const std::string &Name);
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
