#ifndef DRAGONFLYLOCK_SCHEDULING_MACHINEORDERTRACKER_H
#define DRAGONFLYLOCK_SCHEDULING_MACHINEORDERTRACKER_H

#include "global/iclock.h"
#include "scheduling/storetypes.h"

#include <chrono>
#include <map>
#include <string>

namespace dragonflylock {

/// Knows which node ordered each machine last, from the control rows. A
/// machine takes orders of one node at a time: another one waits until the
/// last order is older than a lease, and each order has the version of the
/// row that announced it as its token, so that tokens rise.
class MachineOrderTracker {
public:
  /// Time from sending an announcement until its order must have been sent;
  /// other nodes wait for it besides the lease, since the row may have been
  /// written long before its answer came.
  static constexpr std::chrono::milliseconds OrderWindow{500};

  /// \param Node this node's name.
  /// \param Clock must outlive the ledger.
  MachineOrderTracker(std::string Node, const IClock &Clock)
      : Node_(std::move(Node)), Clock_(Clock) {}

  /// Takes in the row of a machine.
  void onRow(const std::string &Machine, const StoreRow &Row);
  /// \returns whether this node may order the machine.
  /// \param Lease time between orders of two nodes.
  /// \param ListedAt when the list was asked for that shows the machine; it
  /// must be newer than the last order.
  bool mayOrder(const std::string &Machine, std::chrono::milliseconds Lease,
                TimePoint ListedAt) const;
  /// Adds what announces an order to a transaction on the control rows. It
  /// applies only if no other node has announced one since. Until the order
  /// has ended, or its time is over, this node makes no other one.
  void announce(const std::string &Machine, StoreTransaction &Transaction);
  /// Notes that an announcement was stored.
  void onAnnounced(const std::string &Machine, StoreVersion Version);
  /// Notes that an announced order was answered.
  void onOrderFinished(const std::string &Machine);
  /// Notes that an announced order was not made.
  void onOrderSkipped(const std::string &Machine);

private:
  struct LastOrder {
    std::string Node_;
    StoreVersion Version_ = 0;
    /// When the row was seen, or this node's order was answered.
    TimePoint SeenAt_;
    /// End of the time in which an order of this node may be under way.
    TimePoint BusyUntil_;
  };

  std::string Node_;
  const IClock &Clock_;
  std::map<std::string, LastOrder> Orders_;
};

} // namespace dragonflylock

#endif
