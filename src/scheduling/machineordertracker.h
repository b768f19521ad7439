#ifndef DRAGONFLYLOCK_SCHEDULING_MACHINEORDERTRACKER_H
#define DRAGONFLYLOCK_SCHEDULING_MACHINEORDERTRACKER_H

#include "global/iclock.h"
#include "scheduling/storetypes.h"

#include <chrono>
#include <map>
#include <string>

namespace dragonflylock {

/// Tracks which node ordered each machine last, from the control rows. A
/// machine takes orders from one node at a time: another node waits until the
/// last order is older than a lease. The fencing token of an order is the
/// version of the row that announced it, so that tokens increase.
class MachineOrderTracker {
public:
  /// Time after sending an announcement within which its order must be sent.
  /// Other nodes wait for this time in addition to the lease, since the row may
  /// have been written long before the announcing node got the response.
  static constexpr std::chrono::milliseconds OrderWindow{500};

  /// \param Node this node's name.
  /// \param Clock must outlive this object.
  MachineOrderTracker(std::string Node, const IClock &Clock)
      : Node_(std::move(Node)), Clock_(Clock) {}

  /// Updates the last order from a machine's row.
  void onRow(const std::string &Machine, const StoreRow &Row);
  /// \returns whether this node may send the machine an order.
  /// \param Lease minimum time between the orders of two nodes.
  /// \param ListedAt when the list that shows the machine was requested; must
  /// not be before the last order.
  bool mayOrder(const std::string &Machine, std::chrono::milliseconds Lease,
                TimePoint ListedAt) const;
  /// Adds the announcement of an order to a transaction on the control rows,
  /// which then applies only if no other node has announced an order since.
  /// This node sends the machine no other order until this one has finished or
  /// timed out.
  void announce(const std::string &Machine, StoreTransaction &Transaction);
  /// Called when an announcement has been stored.
  void onAnnounced(const std::string &Machine, StoreVersion Version);
  /// Called when an announced order has been answered, or is no longer waited
  /// for.
  void onOrderFinished(const std::string &Machine);
  /// Called when an announcement has failed or its order is not sent.
  void onOrderSkipped(const std::string &Machine);

private:
  struct LastOrder {
    std::string Node_;
    StoreVersion Version_ = 0;
    /// When the row was seen, or this node's order was announced or answered.
    TimePoint SeenAt_;
    /// Until when an order of this node may be in flight.
    TimePoint BusyUntil_;
  };

  std::string Node_;
  const IClock &Clock_;
  std::map<std::string, LastOrder> Orders_;
};

} // namespace dragonflylock

#endif
