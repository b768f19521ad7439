#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_MACHINEMOVEMANAGER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_MACHINEMOVEMANAGER_H

#include "global/iclock.h"
#include "scheduling/capacityplanner.h"
#include "scheduling/controlrows.h"
#include "scheduling/machinetypes.h"
#include "scheduling/storetypes.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

class DemandTracker;
class IMachineControl;
class MachineOrderTracker;
class MachineListCache;
class WorkerSession;
struct PoolState;

/// Asks for machines that the pool lacks, and gives idle ones of the pool to
/// pools that ask, or to the spare pool. Only the owner of the pool that a
/// machine is in orders its move, and only while nothing runs there.
class MachineMoveManager
    : public std::enable_shared_from_this<MachineMoveManager> {
public:
  MachineMoveManager(PoolState &Pool, IMachineControl &Machines,
                     MachineListCache &MachineList,
                     MachineOrderTracker &OrderTracker, DemandTracker &Demands);

  void tick();

private:
  struct PendingMove {
    std::string To_;
    /// Lifetime of the machine's worker; empty where it has none.
    std::string Lifetime_;
    FencingToken Token_ = 0;
    /// When the announcement was sent.
    TimePoint AnnouncedAt_;
    bool IsBusy_ = false;
    /// Whether an order may have been carried out without an answer.
    bool MayBeExecuted_ = false;
    TimePoint LastAttemptAt_;
  };

  /// Notes the pool's own machines once their number is steady.
  void recordHomeMachines(DemandRow &Row, std::uint32_t Machines);
  void publishDemand(const PoolLoad &Load);
  /// Forgets machines that have arrived, or that are overdue.
  void removeArrived(DemandRow &Row);
  void storeDemand(const DemandRow &Row);
  void reassignMachines(const PoolLoad &Load);
  void grantSpareMachines(const std::string &To);
  void grantIdleMachines(const std::string &To, const PoolLoad &Load);
  void returnSurplus(const PoolLoad &Load);
  void trackCondition(std::optional<TimePoint> &Since, bool IsTrue) const;
  void grant(const std::string &To, std::vector<std::string> Names);
  void onGrantStored(const std::string &To, const DemandRow &Row,
                     TimePoint Sent, const std::vector<std::string> &Names,
                     const StoreTransactionEnd &End);
  void onGrantFailed(const std::string &To,
                     const std::vector<std::string> &Names,
                     const StoreTransactionEnd &End);
  bool mayOrder(const std::string &Name) const;
  void sendOrder(const std::string &Name, PendingMove &Move);
  void onMoveAnswered(const std::string &Name, MachineOutcome Outcome);
  void retryMoves();
  /// \returns whether a move has neither been answered nor may be any more.
  bool isExpired(const PendingMove &Move) const;
  void finishMove(const std::string &Name, bool IsMoved);
  void updateIdleWorkers();
  /// \returns machines on which nothing has run for at least \p MinIdleTime.
  std::vector<std::string>
  idleMachines(std::chrono::milliseconds MinIdleTime) const;
  bool isIdle(const WorkerSession &Session) const;
  /// Has the machine's worker become empty.
  void reserveWorker(const std::string &Machine);
  /// Lets the worker that was to become empty take tasks again.
  void releaseWorker(const std::string &Machine);
  /// \returns the configuration's spare pool; empty for none.
  std::string sparePool() const;

  PoolState &Pool_;
  IMachineControl &Machines_;
  MachineListCache &MachineList_;
  MachineOrderTracker &OrderTracker_;
  DemandTracker &Demands_;
  CapacityPlanner Planner_;
  bool IsWriting_ = false;
  bool IsGranting_ = false;
  TimePoint NextMeasurement_;
  std::uint32_t LastMachineCount_ = 0;
  TimePoint StableSince_;
  TimePoint NextGrant_;
  /// By lifetime.
  std::map<std::string, TimePoint> IdleSince_;
  /// Since when another pool has asked.
  std::optional<TimePoint> DemandSince_;
  /// Since when the pool has had machines that are not its own and not needed.
  std::optional<TimePoint> SurplusSince_;
  /// When each machine that is coming was seen in the pool's demand first.
  std::map<std::string, TimePoint> IncomingSince_;
  /// By machine.
  std::map<std::string, PendingMove> Moves_;
  /// Lifetimes that are to become empty for a grant, by machine.
  std::map<std::string, std::string> ReservedLifetimes_;
};

} // namespace dragonflylock

#endif
