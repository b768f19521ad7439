#ifndef DRAGONFLYLOCK_SCHEDULING_WORKERCALLS_H
#define DRAGONFLYLOCK_SCHEDULING_WORKERCALLS_H

#include "scheduling/schedulingtypes.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace dragonflylock {

/// Time on a worker's own steady clock.
using WorkerClock = std::chrono::milliseconds;

/// Names the lifetime of a worker that an order is for.
struct WorkerTarget {
  std::string Id_;
  SocketAddress Address_;
};

/// Orders a worker to start a task.
struct StartOrder {
  TaskName Task_;
  RunNumber Run_ = 1;
  std::string Payload_;
  /// End of the lease of all that runs on the worker, by its clock.
  WorkerClock LeaseEnd_{0};
  FencingToken Token_ = 0;
  std::string Checkpoint_;
  std::string Ticket_;
};

/// How a worker answered an order.
enum class OrderOutcome {
  Accepted,
  /// The order did not reach the worker.
  NotSent,
  /// No answer; the order may have been, or may still be, carried out.
  Unknown,
  /// A higher fencing token was seen.
  Fenced,
  /// The run number is not higher than one that has ended there.
  StaleRun,
  /// The lease had ended on arrival.
  TooLate,
  /// The task does not fit.
  NoRoom,
  /// The ticket is missing or has expired.
  BadTicket,
  /// The worker is unhealthy and did nothing.
  Unhealthy,
  /// Another lifetime answers at the address.
  OtherLifetime,
  /// The worker could not read the order.
  Rejected,
};

/// The answer to a start, stop or pace order.
struct OrderAnswer {
  OrderOutcome Outcome_ = OrderOutcome::Unknown;
  /// The worker's clock; 0 where the answer has none.
  WorkerClock Clock_{0};
};

/// A run that a worker lists.
struct ListedRun {
  TaskName Task_;
  RunNumber Run_ = 0;
  std::string Checkpoint_;
  /// Share of full speed, 0 to 100.
  std::uint32_t Percent_ = 0;
  /// Tail latency in milliseconds for serving tasks, else thousandths of a
  /// core in use.
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
  /// The other members of the gang did not come.
  GangIncomplete,
};

/// An end that a worker lists until it is acknowledged.
struct ListedEnd {
  std::uint64_t Sequence_ = 0;
  TaskName Task_;
  RunNumber Run_ = 0;
  EndKind Kind_ = EndKind::Failed;
  std::string Checkpoint_;
};

/// Renews the lease of all that runs on a worker and asks for its lists.
struct HoldOrder {
  FencingToken Token_ = 0;
  /// Ends up to this one are forgotten by the worker.
  std::uint64_t AcknowledgedEnd_ = 0;
  WorkerClock LeaseEnd_{0};
  /// How long the worker waits for an end before it answers.
  std::chrono::milliseconds Wait_{0};
};

/// The answer to a hold order.
struct HoldAnswer {
  OrderOutcome Outcome_ = OrderOutcome::Unknown;
  WorkerClock Clock_{0};
  /// Start of the lifetime that answered, since 1970; 0 where it is not told.
  std::chrono::milliseconds Born_{0};
  std::vector<ListedRun> Running_;
  std::vector<ListedEnd> Ended_;
};

} // namespace dragonflylock

#endif
