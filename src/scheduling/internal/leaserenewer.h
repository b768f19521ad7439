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

/// Renews the leases of the workers' runs with hold orders, and processes the
/// runs and run ends that the workers list in response.
class LeaseRenewer : public std::enable_shared_from_this<LeaseRenewer> {
public:
  LeaseRenewer(PoolState &Pool, RunTracker &Runs, Dispatcher &Starter)
      : Pool_(Pool), Runs_(Runs), Dispatcher_(Starter) {}

  /// Sends the hold orders that are due, and releases the runs of workers whose
  /// leases have expired.
  void tick();

private:
  bool isHoldDue(const WorkerSession &Session) const;
  void sendHold(WorkerSession &Session);
  std::chrono::milliseconds holdWaitFor(const WorkerSession &Session) const;
  /// Completes an order that acknowledges ends, or prepares for the next one.
  void prepareAcknowledgement(WorkerSession &Session, HoldOrder &Order);
  /// \returns whether the worker lists ends that may be acknowledged.
  static bool hasEndsToAcknowledge(const WorkerSession &Session);
  /// \returns the sequence number up to which the next hold order acknowledges
  /// run ends; 0 to acknowledge none.
  std::uint64_t endToAcknowledge(const WorkerSession &Session) const;
  /// What the order was that an answer is for.
  struct SentHold {
    TimePoint At_;
    FencingToken Token_ = 0;
    std::uint64_t Acknowledged_ = 0;
    bool GrantsLease_ = false;
  };

  /// Called when a hold order has been answered or has failed.
  void settleAcknowledgement(WorkerSession &Session, const SentHold &Sent,
                             OrderOutcome Outcome) const;
  void onAnswer(const std::string &Lifetime, const SentHold &Sent,
                const HoldAnswer &Answer);
  void applyLists(WorkerSession &Session, const SentHold &Sent,
                  const HoldAnswer &Answer);
  void recordEnds(WorkerSession &Session, const HoldAnswer &Answer);
  /// Stops the listed runs that should not exist. They count against the
  /// capacity of the worker until it no longer lists them.
  void stopUnwanted(WorkerSession &Session, const HoldAnswer &Answer);
  void releaseUnlisted(WorkerSession &Session, TimePoint Sent,
                       const HoldAnswer &Answer);
  /// \param Sent when the order was sent.
  void onHoldFailed(WorkerSession &Session, TimePoint Sent,
                    OrderOutcome Outcome);
  void logOtherLifetime(const WorkerSession &Session, TimePoint Sent,
                        std::chrono::milliseconds Born);
  void releaseExpired(WorkerSession &Session);

  PoolState &Pool_;
  RunTracker &Runs_;
  Dispatcher &Dispatcher_;
};

} // namespace dragonflylock

#endif
