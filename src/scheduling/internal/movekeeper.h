#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_MOVEKEEPER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_MOVEKEEPER_H

#include "scheduling/machinecalls.h"
#include "scheduling/schedulingtypes.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace dragonflylock {

class Dispatcher;
class IMachineControl;
class MachineLedger;
class WorkerSession;
struct PoolState;

/// What decides how many machines a pool wants.
struct PoolDemand {
  /// Declared work of tasks that could start but have no room, in
  /// core-milliseconds.
  std::int64_t WaitingWork_ = 0;
  /// Lasting tasks that have no room.
  std::uint32_t WaitingLasting_ = 0;
  /// Processors of one machine, in thousandths of a core.
  std::int64_t MachineCpu_ = 0;
  /// Machines that are on their way into the pool.
  std::uint32_t Arriving_ = 0;
};

/// \returns how many more machines the pool should take now.
std::uint32_t machinesWanted(const PoolDemand &Demand);

/// Takes machines from the spare pool when tasks have no room, and gives idle
/// ones back.
class MoveKeeper : public std::enable_shared_from_this<MoveKeeper> {
public:
  MoveKeeper(PoolState &Pool, Dispatcher &Starts, IMachineControl &Machines,
             MachineLedger &Ledger)
      : Pool_(Pool), Starts_(Starts), Machines_(Machines), Ledger_(Ledger) {}

  void tick();
  /// \param IsInWave tells whether a wave still has to maintain a machine.
  void setWaveCheck(std::function<bool(const std::string &)> IsInWave);

private:
  std::string sparePool() const;
  PoolDemand demand();
  void noteIdleWorkers();
  void listMachines();
  void onListed(const MachineList &Read);
  void takeMachines();
  void returnMachines();
  void announce(const std::string &Name, const std::string &Target,
                const std::string &Lifetime);
  void order(const std::string &Name, const std::string &Target,
             const std::string &Lifetime, FencingToken Token);
  void onOrdered(const std::string &Name, const std::string &Target,
                 const std::string &Lifetime, MachineOutcome Outcome);
  bool mayMove(const std::string &Name) const;

  PoolState &Pool_;
  Dispatcher &Starts_;
  IMachineControl &Machines_;
  MachineLedger &Ledger_;
  std::function<bool(const std::string &)> IsInWave_;
  std::map<std::string, Machine> Known_;
  /// Since when each worker, by lifetime, has had nothing to run.
  std::map<std::string, TimePoint> IdleSince_;
  /// Machines that were ordered into the pool and have not come up.
  std::map<std::string, TimePoint> Arriving_;
  std::set<std::string> Busy_;
  TimePoint NextLook_;
  /// Until when tasks have had no room lately.
  TimePoint LastShortage_;
  bool IsListing_ = false;
};

} // namespace dragonflylock

#endif
