#ifndef DRAGONFLYLOCK_EMULATOR_MODELSTORE_H
#define DRAGONFLYLOCK_EMULATOR_MODELSTORE_H

#include "global/iclock.h"
#include "scheduling/istore.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflylock {

class Simulation;

/// Faults of the store that are in force.
struct StoreFaults {
  /// No call is answered.
  bool IsUnresponsive_ = false;
  /// Every call is refused.
  bool RefusesAllCalls_ = false;
  /// Nodes that are refused while others are served.
  std::set<std::string> RefusedNodes_;
  /// Share of the writes that are done and not answered.
  double LostResponseProbability_ = 0;
  /// Share of the writes that get no answer and are done seconds later.
  double DelayedExecutionProbability_ = 0;
  /// Factor of the time that an answer takes.
  int LatencyFactor_ = 1;
};

/// The platform's table in virtual time, with its faults.
class ModelStore {
public:
  /// Has a function run at a node, unless the node has ended.
  using Responder = std::function<void(std::function<void()>)>;

  explicit ModelStore(Simulation &Sim) : Simulation_(Sim) {}

  StoreFaults &faults() { return Faults_; }
  /// Lets each node's answers pass a link of its own.
  /// \param BytesPerSecond what it carries; 0 stands for a link without limit.
  void setLinkBandwidth(std::uint64_t BytesPerSecond) {
    LinkBandwidth_ = BytesPerSecond;
  }
  /// Drops the history, so that followers have to read everything again.
  void compact();
  /// \returns the value of a row, empty where there is none.
  std::string valueOf(const StoreKey &Name) const;

  /// Calls of the node \p Node; answers go through \p Respond.
  void transact(const std::string &Node, const Responder &Respond,
                StoreTransaction Transaction, IStore::TransactionDone Done);
  void readRange(const std::string &Node, const Responder &Respond,
                 const StoreKey &From, const std::string &To,
                 std::size_t MaxRows, IStore::RangeDone Done);
  void awaitChanges(const std::string &Node, const Responder &Respond,
                    const std::string &Table, StoreVersion After,
                    std::chrono::milliseconds WaitTimeout,
                    IStore::ChangesDone Done);

private:
  static constexpr std::chrono::milliseconds CallTimeout{1000};

  struct Waiter {
    std::string Node_;
    std::string Table_;
    StoreVersion After_ = 0;
    Responder Respond_;
    IStore::ChangesDone Done_;
  };

  /// \returns when rows sent to \p Node now have arrived there, or nothing
  /// where that takes longer than \p Timeout.
  std::optional<std::chrono::microseconds>
  transferTime(const std::string &Node, const std::vector<StoreRow> &Rows,
               std::chrono::milliseconds Timeout);
  /// Calls \p Work at the store and answers with its result, as far as the
  /// faults in force and the node's link let it.
  template <typename Result>
  void call(const std::string &Node, const Responder &Respond,
            std::function<void(const Result &)> Done,
            std::function<Result()> Work, bool IsWrite,
            std::chrono::milliseconds Timeout = CallTimeout);
  StoreTransactionEnd apply(const StoreTransaction &Transaction);
  StoreChanges changesAfter(const std::string &Table, StoreVersion After);
  void wakeWaiters();

  Simulation &Simulation_;
  StoreFaults Faults_;
  /// Bytes per second of each node's link; 0 stands for no limit.
  std::uint64_t LinkBandwidth_ = 0;
  /// Until when a node's link is taken.
  std::map<std::string, TimePoint> LinkBusyUntil_;
  std::map<StoreKey, StoreRow> Rows_;
  std::vector<StoreRow> History_;
  StoreVersion Version_ = 0;
  /// Changes up to this version are forgotten.
  StoreVersion CompactedVersion_ = 0;
  std::uint64_t NextWaiter_ = 0;
  std::map<std::uint64_t, Waiter> Waiters_;
};

} // namespace dragonflylock

#endif
