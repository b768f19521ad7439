#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_MOVEKEEPER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_MOVEKEEPER_H

#include "global/iclock.h"
#include "scheduling/capacityplanner.h"
#include "scheduling/controlrows.h"
#include "scheduling/machinecalls.h"
#include "scheduling/storetypes.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

class DemandBoard;
class IMachineControl;
class MachineLedger;
class MachineLister;
class WorkerSession;
struct PoolState;

/// Asks for machines that the pool lacks, and gives idle ones of the pool to
/// pools that ask, or to the spare pool. Only the owner of the pool that a
/// machine is in orders its move, and only while nothing runs there.
class MoveKeeper : public std::enable_shared_from_this<MoveKeeper> {
public:
  MoveKeeper(PoolState &Pool, IMachineControl &Machines, MachineLister &List,
             MachineLedger &Ledger, DemandBoard &Demands);

  void tick();

private:
  struct Move {
    std::string To_;
    /// Lifetime of the machine's worker; empty where it has none.
    std::string Lifetime_;
    FencingToken Token_ = 0;
    /// When the announcement was sent.
    TimePoint AnnouncedAt_;
    bool IsBusy_ = false;
    /// Whether an order may have been carried out without an answer.
    bool MayBeDone_ = false;
    TimePoint LastTry_;
  };

  /// Notes the pool's own machines once their number is steady.
  void noteHome(DemandRow &Row, std::uint32_t Machines);
  void tellDemand(const PoolLoad &Load);
  /// Forgets machines that have arrived, or that are overdue.
  void dropArrived(DemandRow &Row);
  void store(const DemandRow &Row);
  void give(const PoolLoad &Load);
  void giveSpare(const std::string &To);
  void lend(const std::string &To, const PoolLoad &Load);
  void release(const PoolLoad &Load);
  void noteSince(std::optional<TimePoint> &Since, bool IsSo) const;
  void grant(const std::string &To, std::vector<std::string> Names);
  void onGranted(const std::string &To, const DemandRow &Row, TimePoint Sent,
                 const std::vector<std::string> &Names,
                 const StoreTransactionResult &End);
  void onRefused(const std::string &To, const std::vector<std::string> &Names,
                 const StoreTransactionResult &End);
  bool mayOrder(const std::string &Name) const;
  void send(const std::string &Name, Move &Each);
  void onMoved(const std::string &Name, MachineOutcome Outcome);
  void repeatMoves();
  /// \returns whether a move has neither been answered nor may be any more.
  bool isOver(const Move &Each) const;
  void endMove(const std::string &Name, bool IsMoved);
  void noteIdleWorkers();
  /// \returns machines on which nothing has run for at least \p Least.
  std::vector<std::string> idleMachines(std::chrono::milliseconds Least) const;
  bool isIdle(const WorkerSession &Session) const;
  /// Has the machine's worker become empty.
  void reserve(const std::string &Machine);
  /// Lets the worker that was to become empty take tasks again.
  void release(const std::string &Machine);
  /// \returns the configuration's spare pool; empty for none.
  std::string sparePool() const;

  PoolState &Pool_;
  IMachineControl &Machines_;
  MachineLister &List_;
  MachineLedger &Ledger_;
  DemandBoard &Demands_;
  CapacityPlanner Planner_;
  bool IsWriting_ = false;
  bool IsGranting_ = false;
  TimePoint NextRound_;
  std::uint32_t LastMachines_ = 0;
  TimePoint SteadySince_;
  TimePoint NextGrant_;
  /// By lifetime.
  std::map<std::string, TimePoint> IdleSince_;
  /// Since when another pool has asked.
  std::optional<TimePoint> AskedSince_;
  /// Since when the pool has had machines that are not its own and not needed.
  std::optional<TimePoint> SurplusSince_;
  /// When each machine that is coming was seen in the pool's demand first.
  std::map<std::string, TimePoint> ComingSince_;
  /// By machine.
  std::map<std::string, Move> Moves_;
  /// Lifetimes that are to become empty for a grant, by machine.
  std::map<std::string, std::string> Reserved_;
};

} // namespace dragonflylock

#endif
