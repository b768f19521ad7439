#ifndef DRAGONFLYLOCK_SCHEDULING_WORKERCALLS_H
#define DRAGONFLYLOCK_SCHEDULING_WORKERCALLS_H

#include "scheduling/schedulingtypes.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace dragonflylock {

/// Time of a worker's own steady clock.
using WorkerClock = std::chrono::milliseconds;

/// The worker lifetime that an order is addressed to.
struct WorkerTarget {
  std::string Id_;
  SocketAddress Address_;
};

/// Order to a worker to start a task.
struct StartOrder {
  TaskName Task_;
  RunNumber Run_ = 1;
  std::string Payload_;
  /// End of the lease of all runs on the worker, by the clock of the worker.
  WorkerClock LeaseEnd_{0};
  FencingToken Token_ = 0;
  std::string Checkpoint_;
  std::string Ticket_;
};

/// Outcome of an order to a worker.
enum class OrderOutcome {
  Accepted,
  /// The order did not reach the worker.
  NotSent,
  /// No response; the order may have been carried out, or may still be.
  Unknown,
  /// The worker has seen a higher fencing token.
  Fenced,
  /// The run number is not higher than that of a run that has ended on the
  /// worker.
  StaleRun,
  /// The lease had expired when the order arrived.
  TooLate,
  /// The worker has too few free resources for the task.
  NoRoom,
  /// The ticket of the advice service is missing or has expired.
  BadTicket,
  /// The worker is unhealthy and did not carry out the order.
  Unhealthy,
  /// Another lifetime of a worker uses the address.
  OtherLifetime,
  /// The worker could not parse the order.
  Rejected,
};

/// The response to a start, stop or pace order.
struct OrderAnswer {
  OrderOutcome Outcome_ = OrderOutcome::Unknown;
  /// The worker's clock; 0 if the response does not contain it.
  WorkerClock Clock_{0};
};

/// A run that a worker lists as running.
struct ListedRun {
  TaskName Task_;
  RunNumber Run_ = 0;
  std::string Checkpoint_;
  /// Share of full speed, 0 to 100; 0 while the run does not work.
  std::uint32_t Percent_ = 0;
  /// Tail latency in milliseconds for serving tasks; used processor in
  /// thousandths of a core for others.
  std::int64_t Measurement_ = 0;
};

/// How a run ended.
enum class EndKind {
  Done,
  Failed,
  Stopped,
  LeaseExpired,
  /// Another member of the gang ended.
  GangBroken,
  /// The other members of the gang did not start in time.
  GangIncomplete,
};

/// A run end. A worker lists it until it is acknowledged.
struct ListedEnd {
  std::uint64_t Sequence_ = 0;
  TaskName Task_;
  RunNumber Run_ = 0;
  EndKind Kind_ = EndKind::Failed;
  std::string Checkpoint_;
};

/// Order that renews the lease of all runs on a worker and asks for its lists
/// of runs and run ends.
struct HoldOrder {
  FencingToken Token_ = 0;
  /// Sequence number up to which the worker may forget run ends.
  std::uint64_t AcknowledgedEnd_ = 0;
  WorkerClock LeaseEnd_{0};
  /// How long the worker delays its response to wait for a run to end.
  std::chrono::milliseconds Wait_{0};
};

/// The response to a hold order.
struct HoldAnswer {
  OrderOutcome Outcome_ = OrderOutcome::Unknown;
  WorkerClock Clock_{0};
  /// Start of the lifetime that responded, since 1970; 0 if the response does
  /// not contain it.
  std::chrono::milliseconds Born_{0};
  std::vector<ListedRun> Running_;
  std::vector<ListedEnd> Ended_;
};

} // namespace dragonflylock

#endif
