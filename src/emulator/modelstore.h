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

/// Store faults that are active.
struct StoreFaults {
  /// New calls get no response and have no effect.
  bool IsUnresponsive_ = false;
  /// New calls of all nodes are refused.
  bool RefusesAllCalls_ = false;
  /// Nodes whose calls are refused while other nodes are served.
  std::set<std::string> RefusedNodes_;
  /// Probability that a write is applied and its response is lost.
  double LostResponseProbability_ = 0;
  /// Probability that a write gets no response and is applied seconds later.
  double DelayedExecutionProbability_ = 0;
  /// Factor on the network latency of calls; notifications of waiting readers
  /// keep their latency.
  int LatencyFactor_ = 1;
};

/// Model of the platform's transactional table, in virtual time and with
/// injected faults.
class ModelStore {
public:
  /// Runs a function on a node, unless the node's process has ended since the
  /// call.
  using Responder = std::function<void(std::function<void()>)>;

  explicit ModelStore(Simulation &Sim) : Simulation_(Sim) {}

  StoreFaults &faults() { return Faults_; }
  /// Limits the bandwidth at which each node receives responses.
  /// \param BytesPerSecond bandwidth of each node's link; 0 for no limit.
  void setLinkBandwidth(std::uint64_t BytesPerSecond) {
    LinkBandwidth_ = BytesPerSecond;
  }
  /// Drops the change history, so that followers have to read their tables
  /// again.
  void compact();
  /// \returns the value of a row, or an empty string if it does not exist.
  std::string valueOf(const StoreKey &Name) const;

  /// The operations of IStore, called by \p Node; \p Respond runs the callback
  /// on that node.
  void transact(const std::string &Node, const Responder &Respond,
                StoreTransaction Transaction, IStore::TransactionCallback Done);
  void readRange(const std::string &Node, const Responder &Respond,
                 const StoreKey &From, const std::string &To,
                 std::size_t MaxRows, IStore::RangeCallback Done);
  void awaitChanges(const std::string &Node, const Responder &Respond,
                    const std::string &Table, StoreVersion After,
                    std::chrono::milliseconds WaitTimeout,
                    IStore::ChangesCallback Done);

private:
  static constexpr std::chrono::milliseconds CallTimeout{1000};

  struct Waiter {
    std::string Node_;
    std::string Table_;
    StoreVersion After_ = 0;
    Responder Respond_;
    IStore::ChangesCallback Done_;
  };

  /// Occupies the link of \p Node for the transfer of \p Rows.
  /// \returns the time until the rows have arrived, or nothing if that takes
  /// longer than \p Timeout.
  std::optional<std::chrono::microseconds>
  transferTime(const std::string &Node, const std::vector<StoreRow> &Rows,
               std::chrono::milliseconds Timeout);
  /// Runs \p Work at the store and responds with its result, subject to the
  /// active faults and the bandwidth of the node's link.
  template <typename Result>
  void call(const std::string &Node, const Responder &Respond,
            std::function<void(const Result &)> Done,
            std::function<Result()> Work, bool IsWrite,
            std::chrono::milliseconds Timeout = CallTimeout);
  StoreTransactionResult apply(const StoreTransaction &Transaction);
  StoreChanges changesAfter(const std::string &Table, StoreVersion After);
  void wakeWaiters();

  Simulation &Simulation_;
  StoreFaults Faults_;
  /// Bandwidth of each node's link in bytes per second; 0 for no limit.
  std::uint64_t LinkBandwidth_ = 0;
  /// When the link of each node becomes idle.
  std::map<std::string, TimePoint> LinkBusyUntil_;
  std::map<StoreKey, StoreRow> Rows_;
  std::vector<StoreRow> History_;
  StoreVersion Version_ = 0;
  /// Changes up to this version have been dropped from the history.
  StoreVersion CompactedVersion_ = 0;
  std::uint64_t NextWaiter_ = 0;
  std::map<std::uint64_t, Waiter> Waiters_;
};

} // namespace dragonflylock

#endif
