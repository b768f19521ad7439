#include "emulator/modelworkers.h"
#include "emulator/simulation.h"
#include "scheduling/placement.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds OneWayLatency{1};
constexpr milliseconds CallTimeout{800};
constexpr milliseconds MaxLeaseDuration{6000};
constexpr milliseconds StopDuration{100};
/// Interval at which a waiting hold order checks for run ends.
constexpr milliseconds HoldPollInterval{20};
/// Time from the start of a deadly task to the crash of its worker, and time
/// until the worker is back.
constexpr milliseconds CrashDelay{10};
constexpr milliseconds CrashDowntime{3400};
/// Time from the start of a long-running task until it works at full speed.
constexpr milliseconds LongRunningStartup{900};
constexpr std::uint32_t FullSpeedPercent = 100;
/// Factor by which a task is slower outside the rack that holds its data.
constexpr int OffRackSlowdown = 2;

milliseconds runTime(const StepSpec &Step, const WorkerEntry &Worker) {
  bool IsOffRack = !Step.DataRack_.empty() && Step.DataRack_ != Worker.Rack_;
  return Step.Estimate_ * (IsOffRack ? OffRackSlowdown : 1);
}

/// \returns a callback that passes on only the first response: a caller that
/// has given up an order doesn't get another one.
template <typename Answer>
std::function<void(const Answer &)>
firstOnly(std::function<void(const Answer &)> Done) {
  return [Done = std::move(Done),
          IsAnswered = std::make_shared<bool>(false)](const Answer &Response) {
    if (!std::exchange(*IsAnswered, true))
      Done(Response);
  };
}

} // namespace

bool ModelWorkers::acceptToken(ModelWorker &Worker, FencingToken Token) {
  if (Token < Worker.Token_)
    return false;
  Worker.Token_ = Token;
  return true;
}

void ModelWorkers::extendLease(ModelWorker &Worker, WorkerClock End) {
  endExpiredLease(Worker);
  Worker.LeaseEnd_ = std::max(
      Worker.LeaseEnd_, std::min(End, clockOf(Worker) + MaxLeaseDuration));
}

std::string ModelWorkers::onWay(TimePoint SentAt) const {
  auto Passed =
      std::chrono::duration_cast<milliseconds>(Simulation_.now() - SentAt);
  return std::to_string(Passed.count()) + "ms";
}

void ModelWorkers::start(const std::string &Node, const Responder &Respond,
                         const WorkerTarget &Target, const StartOrder &Order,
                         const IWorkerControl::OrderCallback &Done) {
  auto Answer = firstOnly(Done);
  auto CarryOut = [=, this, SentAt = Simulation_.now()](bool IsAnswered) {
    ModelWorker *Worker = findReachable(Node, Target);
    if (Worker == nullptr)
      return;
    OrderAnswer Response = applyStart(*Worker, Order, SentAt);
    log(*Worker, "event=start.received task=" + Order.Task_.text() +
                     " run=" + std::to_string(Order.Run_) + " from=" + Node +
                     " on-way=" + onWay(SentAt) +
                     " deadline=" + std::to_string(Order.LeaseEnd_.count()) +
                     " token=" + std::to_string(Order.Token_) + " outcome=" +
                     std::to_string(static_cast<int>(Response.Outcome_)));
    if (IsAnswered)
      Simulation_.schedule(OneWayLatency,
                           [=] { Respond([=] { Answer(Response); }); });
  };
  bool IsDelayed = Simulation_.withProbability(DelayedExecutionProbability_);
  if (IsDelayed)
    Delivery_.deliverLate(Target.Id_,
                          milliseconds(Simulation_.randomInRange(
                              MinStartDelay.count(), MaxStartDelay.count())),
                          [=] { CarryOut(/*IsAnswered=*/false); });
  bool IsDiverted =
      !IsDelayed &&
      Delivery_.divert(Target.Id_, Workers_[Target.Id_].IsCrashing_,
                       [=] { CarryOut(/*IsAnswered=*/true); });
  if (IsDelayed || IsDiverted || findReachable(Node, Target) == nullptr) {
    Simulation_.schedule(CallTimeout, [=] {
      Respond([=] { Answer({OrderOutcome::Unknown, WorkerClock(0)}); });
    });
    return;
  }
  Simulation_.schedule(OneWayLatency, [=, this] {
    if (findReachable(Node, Target) != nullptr) {
      CarryOut(/*IsAnswered=*/true);
      return;
    }
    Simulation_.schedule(OneWayLatency, [=] {
      Respond([=] { Answer({OrderOutcome::Unknown, WorkerClock(0)}); });
    });
  });
}

OrderAnswer ModelWorkers::applyStart(ModelWorker &Worker,
                                     const StartOrder &Order,
                                     TimePoint SentAt) {
  WorkerClock Clock = clockOf(Worker);
  if (!acceptToken(Worker, Order.Token_))
    return {OrderOutcome::Fenced, Clock};
  endExpiredLease(Worker);
  auto Known = Worker.Running_.find(Order.Task_);
  bool IsThere =
      Known != Worker.Running_.end() && Known->second.Run_ == Order.Run_;
  if (!IsThere && Clock >= Order.LeaseEnd_)
    return {OrderOutcome::TooLate, Clock};
  extendLease(Worker, Order.LeaseEnd_);
  if (IsThere)
    return {OrderOutcome::Accepted, Clock};
  auto Ended = Worker.EndedRuns_.find(Order.Task_);
  if (Ended != Worker.EndedRuns_.end() && Order.Run_ <= Ended->second)
    return {OrderOutcome::StaleRun, Clock};
  const StepSpec &Step =
      Checker_.job(Order.Task_.Job_).Spec_.Steps_[Order.Task_.Step_];
  Resources Free = Worker.Entry_.Capacity_;
  Free -= usedResources(Worker);
  if (!Free.canFit(requiredResources(Step)))
    return {OrderOutcome::NoRoom, Clock};
  if (!hasTicket(Worker, Order))
    return {OrderOutcome::BadTicket, Clock};
  Checker_.onStart(Worker.Entry_, Order.Task_, Order.Payload_, SentAt);
  if (Known != Worker.Running_.end())
    Checker_.onEnd(Worker.Entry_.lifetime(), Order.Task_, Known->second.Run_,
                   EndKind::Stopped);
  ModelRun Run{Order.Run_, requiredResources(Step), Simulation_.now(),
               ++NextSerial_, Step.IsGang_};
  Worker.Running_[Order.Task_] = Run;
  if (Checker_.job(Order.Task_.Job_).DeadlyTask_ == Order.Task_)
    Simulation_.schedule(CrashDelay, [this, Id = Worker.Entry_.Id_,
                                      Incarnation = Worker.Incarnation_] {
      if (Workers_[Id].Incarnation_ != Incarnation)
        return;
      ++CrashesByTasks_;
      crash(Id, CrashDowntime);
    });
  if (Step.IsGang_)
    joinGang(Worker.Entry_.Id_, Order.Task_, Run);
  else if (!Step.IsLongRunning_)
    Simulation_.schedule(
        runTime(Step, Worker.Entry_) * Simulation_.randomInRange(50, 200) / 100,
        [this, Id = Worker.Entry_.Id_, Incarnation = Worker.Incarnation_,
         Task = Order.Task_,
         Serial = Run.Serial_] { completeRun(Id, Incarnation, Task, Serial); });
  checkLease(Worker.Entry_.Id_);
  return {OrderOutcome::Accepted, Clock};
}

void ModelWorkers::sendOrder(
    const std::string &Node, const Responder &Respond,
    const WorkerTarget &Target,
    const std::function<OrderOutcome(ModelWorker &)> &Apply,
    const IWorkerControl::OrderCallback &Done) {
  auto Answer = firstOnly(Done);
  auto CarryOut = [=, this, SentAt = Simulation_.now()] {
    ModelWorker *Worker = findReachable(Node, Target);
    if (Worker == nullptr)
      return false;
    OrderAnswer Response{Apply(*Worker), clockOf(*Worker)};
    log(*Worker,
        "event=order.received from=" + Node + " on-way=" + onWay(SentAt) +
            " outcome=" + std::to_string(static_cast<int>(Response.Outcome_)));
    Simulation_.schedule(OneWayLatency,
                         [=] { Respond([=] { Answer(Response); }); });
    return true;
  };
  Simulation_.schedule(OneWayLatency, [=, this] {
    if (Delivery_.divert(Target.Id_, Workers_[Target.Id_].IsCrashing_,
                         CarryOut) ||
        !CarryOut())
      Simulation_.schedule(CallTimeout, [=] {
        Respond([=] { Answer({OrderOutcome::Unknown, WorkerClock(0)}); });
      });
  });
}

void ModelWorkers::stop(const std::string &Node, const Responder &Respond,
                        const WorkerTarget &Target, const TaskName &Task,
                        RunNumber Run, FencingToken Token,
                        const IWorkerControl::OrderCallback &Done) {
  sendOrder(
      Node, Respond, Target,
      [=, this](ModelWorker &Worker) {
        return applyStop(Worker, Task, Run, Token);
      },
      Done);
}

OrderOutcome ModelWorkers::applyStop(ModelWorker &Worker, const TaskName &Task,
                                     RunNumber Run, FencingToken Token) {
  if (!acceptToken(Worker, Token))
    return OrderOutcome::Fenced;
  Worker.EndedRuns_[Task] = std::max(Worker.EndedRuns_[Task], Run);
  Simulation_.schedule(StopDuration, [this, Task, Run, Id = Worker.Entry_.Id_,
                                      Incarnation = Worker.Incarnation_] {
    ModelWorker &Stopping = Workers_[Id];
    auto Found = Stopping.Running_.find(Task);
    if (Stopping.Incarnation_ == Incarnation &&
        Found != Stopping.Running_.end() && Found->second.Run_ == Run)
      endRun(Stopping, Task, EndKind::Stopped);
  });
  return OrderOutcome::Accepted;
}

void ModelWorkers::pace(const std::string &Node, const Responder &Respond,
                        const WorkerTarget &Target, FencingToken Token,
                        const IWorkerControl::OrderCallback &Done) {
  sendOrder(
      Node, Respond, Target,
      [=](ModelWorker &Worker) {
        return acceptToken(Worker, Token) ? OrderOutcome::Accepted
                                          : OrderOutcome::Fenced;
      },
      Done);
}

void ModelWorkers::hold(const std::string &Node, const Responder &Respond,
                        const WorkerTarget &Target, const HoldOrder &Order,
                        const IWorkerControl::HoldCallback &Done) {
  PendingHold Hold{Node,  Respond,         Target,
                   Order, firstOnly(Done), Simulation_.now()};
  Simulation_.schedule(OneWayLatency, [=, this] {
    ModelWorker *Worker = nullptr;
    if (!Delivery_.divert(Target.Id_, Workers_[Target.Id_].IsCrashing_,
                          [=, this] { holdLate(Hold); }))
      Worker = findReachable(Node, Target);
    if (Worker != nullptr)
      applyHold(*Worker, Hold);
    else
      Simulation_.schedule(Order.Wait_ + CallTimeout,
                           [=] { Respond([=] { Hold.Done_(HoldAnswer()); }); });
  });
}

void ModelWorkers::holdLate(const PendingHold &Hold) {
  if (ModelWorker *Worker = findReachable(Hold.Node_, Hold.Target_))
    applyHold(*Worker, Hold);
}

void ModelWorkers::applyHold(ModelWorker &Worker, const PendingHold &Hold) {
  const HoldOrder &Order = Hold.Order_;
  if (!acceptToken(Worker, Order.Token_)) {
    HoldAnswer Refused;
    Refused.Outcome_ = OrderOutcome::Fenced;
    Simulation_.schedule(OneWayLatency,
                         [=] { Hold.Respond_([=] { Hold.Done_(Refused); }); });
    return;
  }
  extendLease(Worker, Order.LeaseEnd_);
  log(Worker, "event=hold.received from=" + Hold.Node_ +
                  " on-way=" + onWay(Hold.SentAt_) +
                  " deadline=" + std::to_string(Order.LeaseEnd_.count()) +
                  " token=" + std::to_string(Order.Token_) +
                  " acknowledged=" + std::to_string(Order.AcknowledgedEnd_));
  std::erase_if(Worker.UnacknowledgedEnds_, [&](const ListedEnd &End) {
    if (End.Sequence_ > Order.AcknowledgedEnd_)
      return false;
    if (End.Sequence_ > Worker.LastLapsedEnd_)
      Checker_.onEndAcknowledged(Worker.Entry_.lifetime(), End.Task_, End.Run_,
                                 End.Kind_);
    return true;
  });
  answerHold(Hold, Worker.Incarnation_, Simulation_.now() + Order.Wait_,
             Worker.LastEndSequence_);
}

void ModelWorkers::answerHold(const PendingHold &Hold,
                              std::uint64_t Incarnation, TimePoint Deadline,
                              std::uint64_t SeenEndSequence) {
  ModelWorker &Worker = Workers_[Hold.Target_.Id_];
  if (Worker.Incarnation_ != Incarnation) {
    milliseconds Timeout = CallTimeout;
    if (Worker.IsCrashing_ && !Worker.IsUp_ &&
        Delivery_.divert(Hold.Target_.Id_, /*IsCrashing=*/true,
                         [=, this] { holdLate(Hold); }))
      Timeout += std::chrono::ceil<milliseconds>(Deadline - Simulation_.now());
    Simulation_.schedule(
        Timeout, [=] { Hold.Respond_([=] { Hold.Done_(HoldAnswer()); }); });
    return;
  }
  bool HasNewEnds = !Worker.UnacknowledgedEnds_.empty() ||
                    Worker.LastEndSequence_ > SeenEndSequence;
  if (!HasNewEnds && Simulation_.now() < Deadline) {
    Simulation_.schedule(HoldPollInterval, [=, this] {
      answerHold(Hold, Incarnation, Deadline, SeenEndSequence);
    });
    return;
  }
  HoldAnswer Response;
  Response.Outcome_ = OrderOutcome::Accepted;
  Response.Clock_ = clockOf(Worker);
  Response.Born_ = Worker.Entry_.Born_;
  Response.Ended_ = Worker.UnacknowledgedEnds_;
  for (const auto &[Task, Run] : Worker.Running_) {
    bool HasStarted = Simulation_.now() - Run.Started_ >= LongRunningStartup;
    Response.Running_.push_back(
        {Task, Run.Run_, "", HasStarted ? FullSpeedPercent : 0, 0});
  }
  Simulation_.schedule(OneWayLatency,
                       [=] { Hold.Respond_([=] { Hold.Done_(Response); }); });
}

} // namespace dragonflylock
