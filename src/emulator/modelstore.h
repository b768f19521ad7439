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
  bool IsSilent_ = false;
  /// Every call is refused.
  bool IsBusy_ = false;
  /// Nodes that are refused while others are served.
  std::set<std::string> RefusedNodes_;
  /// Share of the writes that are done and not answered.
  double LostShare_ = 0;
  /// Share of the writes that get no answer and are done seconds later.
  double LateShare_ = 0;
  /// Factor of the time that an answer takes.
  int Slowness_ = 1;
};

/// The platform's table in virtual time, with its faults.
class ModelStore {
public:
  /// Has a function run at a node, unless the node has ended.
  using Deliver = std::function<void(std::function<void()>)>;

  explicit ModelStore(Simulation &World) : World_(World) {}

  StoreFaults &faults() { return Faults_; }
  /// Lets each node's answers pass a link of its own.
  /// \param BytesPerSecond what it carries; 0 stands for a link without limit.
  void setLink(std::uint64_t BytesPerSecond) { LinkSpeed_ = BytesPerSecond; }
  /// Drops the history, so that followers have to read everything again.
  void compact();
  /// \returns the value of a row, empty where there is none.
  std::string valueOf(const StoreKey &Name) const;

  /// Calls of the node \p Node; answers go through \p Answer.
  void transact(const std::string &Node, const Deliver &Answer,
                StoreTransaction Wanted, IStore::TransactionCallback Done);
  void readRange(const std::string &Node, const Deliver &Answer,
                 const StoreKey &From, const std::string &To, std::size_t Most,
                 IStore::RangeCallback Done);
  void awaitChanges(const std::string &Node, const Deliver &Answer,
                    const std::string &Table, StoreVersion After,
                    std::chrono::milliseconds Longest,
                    IStore::ChangesCallback Done);

private:
  static constexpr std::chrono::milliseconds CallLimit{1000};

  struct Waiter {
    std::string Node_;
    std::string Table_;
    StoreVersion After_ = 0;
    Deliver Answer_;
    IStore::ChangesCallback Done_;
  };

  /// \returns when rows sent to \p Node now have arrived there, or nothing
  /// where that takes longer than \p Limit.
  std::optional<std::chrono::microseconds>
  carry(const std::string &Node, const std::vector<StoreRow> &Rows,
        std::chrono::milliseconds Limit);
  /// Calls \p Work at the store and answers with its result, as far as the
  /// faults in force and the node's link let it.
  template <typename Result>
  void call(const std::string &Node, const Deliver &Answer,
            std::function<void(const Result &)> Done,
            std::function<Result()> Work, bool IsWrite,
            std::chrono::milliseconds Limit = CallLimit);
  StoreTransactionResult apply(const StoreTransaction &Wanted);
  StoreChanges changesAfter(const std::string &Table, StoreVersion After);
  void wakeWaiters();

  Simulation &World_;
  StoreFaults Faults_;
  /// Bytes per second of each node's link; 0 stands for no limit.
  std::uint64_t LinkSpeed_ = 0;
  /// Until when a node's link is taken.
  std::map<std::string, TimePoint> LinkTaken_;
  std::map<StoreKey, StoreRow> Rows_;
  std::vector<StoreRow> History_;
  StoreVersion Version_ = 0;
  /// Changes up to this version are forgotten.
  StoreVersion Forgotten_ = 0;
  std::uint64_t NextWaiter_ = 0;
  std::map<std::uint64_t, Waiter> Waiters_;
};

} // namespace dragonflylock

#endif
