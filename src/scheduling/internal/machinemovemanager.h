#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_MACHINEMOVEMANAGER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_MACHINEMOVEMANAGER_H

#include "global/iclock.h"
#include "scheduling/capacityplanner.h"
#include "scheduling/controlrows.h"
#include "scheduling/internal/demandforecaster.h"
#include "scheduling/machinetypes.h"
#include "scheduling/storetypes.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflylock {

class DemandTracker;
class IMachineControl;
class MachineOrderTracker;
class MachineListCache;
class WorkerSession;
struct PoolState;

/// Requests machines that the pool lacks, grants idle machines of the pool to
/// pools that request some, and returns surplus ones to the spare pool. Only
/// the owner of the pool that a machine is in orders its move, and only while
/// nothing runs on the machine. Where jobs are refused under pressure, it also
/// requests machines ahead of predicted peaks, and returns idle home machines
/// to the spare pool, which keeps them for this pool.
class MachineMoveManager
    : public std::enable_shared_from_this<MachineMoveManager> {
public:
  MachineMoveManager(PoolState &Pool, IMachineControl &Machines,
                     MachineListCache &List, MachineOrderTracker &OrderTracker,
                     DemandTracker &Demands);

  /// Sets which machines are due for maintenance; they are not returned.
  void setMaintenanceCheck(std::function<bool(const std::string &)> IsDue) {
    IsDueForMaintenance_ = std::move(IsDue);
  }
  void tick();

private:
  /// A grant whose transaction is in flight.
  struct Grant {
    std::string To_;
    std::vector<std::string> Names_;
    /// Pool whose demand row the grant changes; empty for none.
    std::string DemandPool_;
    DemandRow Row_;
    TimePoint SentAt_;
  };
  struct PendingMove {
    std::string To_;
    /// Lifetime of the machine's worker; empty for none.
    std::string Lifetime_;
    FencingToken Token_ = 0;
    /// When the transaction that announces the order was sent.
    TimePoint AnnouncedAt_;
    bool IsBusy_ = false;
    /// Whether an order that got no response may have been executed.
    bool MayBeExecuted_ = false;
    TimePoint LastAttemptAt_;
  };

  /// Records the number of the pool's home machines once it is stable.
  void recordHomeMachines(DemandRow &Row, std::uint32_t Machines);
  void publishDemand(const PoolLoad &Load);
  /// Removes machines that are back, and as many others as the pool has
  /// replaced, so that the spare pool does not keep them any longer.
  void removeReplaced(DemandRow &Row, std::uint32_t Machines) const;
  void logRequestAhead(const PoolLoad &Load, std::uint32_t Missing);
  /// Removes incoming machines that have arrived or are overdue.
  void removeArrived(DemandRow &Row);
  void storeDemand(const DemandRow &Row);
  void reassignMachines(const PoolLoad &Load);
  void grantSpareMachines(const std::string &To);
  void grantIdleMachines(const std::string &To, const PoolLoad &Load);
  void returnSurplus(const PoolLoad &Load);
  /// Returns idle home machines for a long idle phase.
  void returnHomeMachines(PoolLoad Load);
  /// Removes machines that are due for maintenance, that have accelerators, or
  /// without which a zone or a label would have less than its share of the
  /// reserve.
  void retainReserve(std::vector<std::string> &Names) const;
  /// Grants home machines that were returned by a pool which requests machines
  /// now. Otherwise removes all returned machines from \p Names, since the
  /// spare pool keeps them for their pools. \returns whether a grant was stored
  /// or is being stored.
  bool grantReturnedMachines(std::set<std::string> &Names);
  void trackCondition(std::optional<TimePoint> &Since, bool IsTrue) const;
  /// Grants as many of the machines as \p To requests.
  void grant(const std::string &To, std::vector<std::string> Names);
  /// Stores the grant and the orders' announcements in one transaction.
  void storeGrant(Grant Wanted);
  void onGrantStored(const Grant &Stored, const StoreTransactionResult &End);
  void onGrantFailed(const Grant &Failed, const StoreTransactionResult &End);
  std::size_t maxGrantMachines() const;
  /// \returns the machines that may be ordered to move now.
  std::vector<std::string>
  withoutBusyMachines(std::vector<std::string> Names) const;
  bool mayOrder(const std::string &Name) const;
  void sendOrder(const std::string &Name, PendingMove &Move);
  void onMoveAnswered(const std::string &Name, MachineOutcome Outcome);
  void retryMoves();
  /// \returns whether the move got no final response in time, so that it is no
  /// longer waited for.
  bool isExpired(const PendingMove &Move) const;
  void finishMove(const std::string &Name, bool IsMoved);
  void updateIdleWorkers();
  /// \returns the machines on which nothing has run for at least
  /// \p MinIdleTime.
  std::vector<std::string>
  idleMachines(std::chrono::milliseconds MinIdleTime) const;
  bool isIdle(const WorkerSession &Session) const;
  /// Keeps new tasks off the machine's worker.
  void reserveWorker(const std::string &Machine);
  /// Lets a reserved worker take tasks again.
  void releaseWorker(const std::string &Machine);
  bool usesForecast() const;
  /// \returns the configuration's spare pool; empty for none.
  std::string sparePool() const;

  PoolState &Pool_;
  IMachineControl &Machines_;
  MachineListCache &MachineList_;
  MachineOrderTracker &OrderTracker_;
  DemandTracker &Demands_;
  CapacityPlanner Planner_;
  DemandForecaster Forecaster_;
  std::function<bool(const std::string &)> IsDueForMaintenance_;
  /// Whether the request ahead of the current or next peak was logged.
  bool IsRequestAheadLogged_ = false;
  bool IsWriting_ = false;
  bool IsGranting_ = false;
  TimePoint NextMeasurement_;
  std::uint32_t LastMachineCount_ = 0;
  TimePoint StableSince_;
  TimePoint NextGrant_;
  /// By worker lifetime.
  std::map<std::string, TimePoint> IdleSince_;
  /// Since when another pool has requested machines.
  std::optional<TimePoint> DemandSince_;
  /// Since when the pool has had surplus machines.
  std::optional<TimePoint> SurplusSince_;
  /// When each incoming machine was first seen in the pool's demand row.
  std::map<std::string, TimePoint> IncomingSince_;
  /// By machine.
  std::map<std::string, PendingMove> Moves_;
  /// Lifetimes of the workers that are reserved for a grant, by machine.
  std::map<std::string, std::string> ReservedLifetimes_;
};

} // namespace dragonflylock

#endif
