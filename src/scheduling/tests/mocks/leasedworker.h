#ifndef DRAGONFLYLOCK_SCHEDULING_TESTS_MOCKS_LEASEDWORKER_H
#define DRAGONFLYLOCK_SCHEDULING_TESTS_MOCKS_LEASEDWORKER_H

#include "global/iclock.h"
#include "scheduling/workercalls.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <vector>

namespace dragonflylock {

/// One lifetime of a worker that carries out orders when they arrive: checks
/// the fencing token, and runs tasks until its lease expires.
class LeasedWorker {
public:
  /// \param ClockAtStart the worker's own clock, which may be slow, at the
  ///   start of the lifetime.
  LeasedWorker(const IClock &Clock, std::chrono::milliseconds Born,
               WorkerClock ClockAtStart)
      : Clock_(Clock), Born_(Born), ClockAtStart_(ClockAtStart),
        StartedAt_(Clock.now()) {}

  OrderAnswer carryOut(const StartOrder &Order) {
    if (Order.Token_ < Token_)
      return {OrderOutcome::Fenced, clock()};
    Token_ = Order.Token_;
    if (clock() >= Order.LeaseEnd_)
      return {OrderOutcome::TooLate, clock()};
    grantLease(Order.LeaseEnd_);
    Running_[Order.Task_] = Order.Run_;
    return {OrderOutcome::Accepted, clock()};
  }

  HoldAnswer carryOut(const HoldOrder &Order) {
    HoldAnswer Answer;
    Answer.Clock_ = clock();
    Answer.Outcome_ = OrderOutcome::Fenced;
    if (Order.Token_ < Token_)
      return Answer;
    Token_ = Order.Token_;
    grantLease(Order.LeaseEnd_);
    Answer.Outcome_ = OrderOutcome::Accepted;
    Answer.Born_ = Born_;
    std::erase_if(Ended_, [&](const ListedEnd &Each) {
      return Each.Sequence_ <= Order.AcknowledgedEnd_;
    });
    Answer.Ended_ = Ended_;
    if (isLeased())
      for (const auto &[Task, Run] : Running_)
        Answer.Running_.push_back({Task, Run, "", 100, 0});
    return Answer;
  }

  /// Ends the run of the task as done.
  void finish(const TaskName &Task) {
    Ended_.push_back({++LastEnd_, Task, Running_.at(Task), EndKind::Done, ""});
    Running_.erase(Task);
  }

  /// \returns the ends that were not acknowledged.
  const std::vector<ListedEnd> &ends() const { return Ended_; }

  bool isRunning(const TaskName &Task) const {
    return isLeased() && Running_.contains(Task);
  }

private:
  static constexpr WorkerClock MaxLease{6000};
  /// The clock runs 2% slow.
  static constexpr int ClockPercent = 98;

  WorkerClock clock() const {
    auto Passed =
        std::chrono::duration_cast<WorkerClock>(Clock_.now() - StartedAt_);
    return ClockAtStart_ + Passed * ClockPercent / 100;
  }
  void grantLease(WorkerClock End) {
    LeaseEnd_ = std::max(LeaseEnd_, std::min(End, clock() + MaxLease));
  }
  bool isLeased() const { return clock() < LeaseEnd_; }

  const IClock &Clock_;
  std::chrono::milliseconds Born_;
  WorkerClock ClockAtStart_;
  TimePoint StartedAt_;
  FencingToken Token_ = 0;
  WorkerClock LeaseEnd_{0};
  std::map<TaskName, RunNumber> Running_;
  std::vector<ListedEnd> Ended_;
  std::uint64_t LastEnd_ = 0;
};

} // namespace dragonflylock

#endif
