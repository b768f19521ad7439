#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_LEASERENEWER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_LEASERENEWER_H

#include "scheduling/schedulingtypes.h"
#include "scheduling/workercalls.h"

#include <memory>
#include <string>

namespace dragonflylock {

class Dispatcher;
class RunTracker;
class WorkerSession;
struct PoolState;

/// Renews the leases of the workers' runs and takes in what they list.
class LeaseRenewer : public std::enable_shared_from_this<LeaseRenewer> {
public:
  LeaseRenewer(PoolState &Pool, RunTracker &Runs, Dispatcher &Starter)
      : Pool_(Pool), Runs_(Runs), Dispatcher_(Starter) {}

  /// Sends the holds that are due, and gives up runs whose lease has lapsed.
  void tick();

private:
  bool isHoldDue(const WorkerSession &Session) const;
  void sendHold(WorkerSession &Session);
  std::chrono::milliseconds holdWaitFor(const WorkerSession &Session) const;
  /// \returns the end that the next hold acknowledges; 0 for none.
  std::uint64_t endToAcknowledge(const WorkerSession &Session) const;
  void onAnswer(const std::string &Lifetime, TimePoint Sent,
                std::uint64_t Acknowledged, const HoldAnswer &Answer);
  void applyLists(WorkerSession &Session, TimePoint Sent,
                  const HoldAnswer &Answer);
  void releaseUnlisted(WorkerSession &Session, TimePoint Sent,
                       const HoldAnswer &Answer);
  void onHoldFailed(WorkerSession &Session, OrderOutcome Outcome);
  void releaseExpired(WorkerSession &Session);

  PoolState &Pool_;
  RunTracker &Runs_;
  Dispatcher &Dispatcher_;
};

} // namespace dragonflylock

#endif
