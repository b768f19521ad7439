#include "emulator/internal/emulatednode.h"
#include "emulator/simulation.h"
#include "global/logevent.h"

#include <algorithm>
#include <cstdio>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds TickInterval{40};
constexpr milliseconds CallTime{10};
/// Time from a graceful stop to the end of the process.
constexpr milliseconds LeaveTime{2500};

} // namespace

EmulatedNode::EmulatedNode(std::string Name, EmulatedWorld &Shared)
    : Name_(std::move(Name)), Shared_(Shared) {}

void EmulatedNode::start() {
  if (Node_)
    return;
  ++Life_;
  IsLeaving_ = false;
  IsTickWaiting_ = false;
  BusyUntil_ = TimePoint();
  SchedulingSettings Settings;
  Settings.Node_ = Name_;
  Node_ = SchedulerNode::Builder()
              .settings(Settings)
              .process(Name_ + "/" + std::to_string(Life_))
              .clock(Shared_.World_)
              .store(*this)
              .workers(*this)
              .machines(*this)
              .advisor(*this)
              .logger(*this)
              .build();
  Node_->onConfiguration(Shared_.Configuration_);
  tick(Life_);
}

void EmulatedNode::kill() {
  ++Life_;
  Node_.reset();
}

void EmulatedNode::freeze(milliseconds Length) {
  FrozenUntil_ = Shared_.World_.now() + Length;
}

void EmulatedNode::stopGracefully() {
  if (!Node_)
    return;
  IsLeaving_ = true;
  Node_->release();
  Shared_.World_.after(LeaveTime, [this, Life = Life_] {
    if (Life == Life_)
      kill();
  });
}

SchedulerNode *EmulatedNode::serving() {
  bool IsServing =
      Node_ && Shared_.World_.now() >= FrozenUntil_ && Node_->isReady();
  return IsServing ? Node_.get() : nullptr;
}

ModelStore::Deliver EmulatedNode::delivery() {
  return [this, Life = Life_](const Work &Next) { deliver(Life, Next); };
}

void EmulatedNode::spend(std::uint64_t Life, const Work &Next) {
  if (Shared_.CallTime_.count() == 0) {
    Next();
    return;
  }
  Simulation &World = Shared_.World_;
  BusyUntil_ = std::max(BusyUntil_, World.now()) + Shared_.CallTime_;
  World.after(
      std::chrono::ceil<std::chrono::microseconds>(BusyUntil_ - World.now()),
      [this, Life, Next] {
        if (Life == Life_)
          Next();
      });
}

void EmulatedNode::deliver(std::uint64_t Life, const Work &Next) {
  if (Life != Life_ || !Node_)
    return;
  spend(Life, [this, Life, Next] { run(Life, Next); });
}

void EmulatedNode::run(std::uint64_t Life, const Work &Next) {
  if (Life != Life_ || !Node_)
    return;
  if (Shared_.World_.now() < FrozenUntil_) {
    Shared_.World_.after(FrozenUntil_ - Shared_.World_.now() >
                                 std::chrono::nanoseconds(0)
                             ? std::chrono::ceil<std::chrono::microseconds>(
                                   FrozenUntil_ - Shared_.World_.now())
                             : std::chrono::microseconds(0),
                         [this, Life, Next] { run(Life, Next); });
    return;
  }
  Next();
  // A busy node decides on what has come together.
  if (Node_ && Shared_.CallTime_.count() == 0)
    Node_->tick();
}

void EmulatedNode::tellFleet() {
  if (Shared_.Wave_)
    Node_->onWave(*Shared_.Wave_);
  if (Node_->needsWorkers())
    Node_->onWorkerSnapshot(Shared_.Workers_.registered());
}

void EmulatedNode::tick(std::uint64_t Life) {
  if (Life != Life_)
    return;
  if (!IsTickWaiting_) {
    IsTickWaiting_ = Shared_.CallTime_.count() > 0;
    deliver(Life, [this] {
      IsTickWaiting_ = false;
      tellFleet();
      if (Shared_.CallTime_.count() > 0)
        Node_->tick();
    });
  }
  Shared_.World_.after(TickInterval, [this, Life] { tick(Life); });
}

void EmulatedNode::transact(StoreTransaction Wanted, TransactionCallback Done) {
  spend(Life_, [=, this, Answer = delivery()] {
    Shared_.Store_.transact(Name_, Answer, Wanted, Done);
  });
}

void EmulatedNode::readRange(const std::string &Table, const std::string &Part,
                             const std::string &From, const std::string &To,
                             std::size_t Most, RangeCallback Done) {
  spend(Life_, [=, this, Answer = delivery()] {
    Shared_.Store_.readRange(Name_, Answer, {Table, Part, From}, To, Most,
                             Done);
  });
}

void EmulatedNode::awaitChanges(const std::string &Table, StoreVersion After,
                                milliseconds Longest, ChangesCallback Done) {
  spend(Life_, [=, this, Answer = delivery()] {
    Shared_.Store_.awaitChanges(Name_, Answer, Table, After, Longest, Done);
  });
}

void EmulatedNode::start(const WorkerTarget &Target, const StartOrder &Order,
                         IWorkerControl::OrderCallback Done) {
  spend(Life_, [=, this, Answer = delivery()] {
    Shared_.Workers_.start(Name_, Answer, Target, Order, Done);
  });
}

void EmulatedNode::stop(const WorkerTarget &Target, const TaskName &Task,
                        RunNumber Run, FencingToken Token,
                        IWorkerControl::OrderCallback Done) {
  spend(Life_, [=, this, Answer = delivery()] {
    Shared_.Workers_.stop(Name_, Answer, Target, Task, Run, Token, Done);
  });
}

void EmulatedNode::hold(const WorkerTarget &Target, const HoldOrder &Order,
                        HoldCallback Done) {
  spend(Life_, [=, this, Answer = delivery()] {
    Shared_.Workers_.hold(Name_, Answer, Target, Order, Done);
  });
}

void EmulatedNode::pace(const WorkerTarget &, const TaskName &, RunNumber,
                        std::uint32_t, FencingToken,
                        IWorkerControl::OrderCallback Done) {
  Shared_.World_.after(CallTime, [Answer = delivery(), Done] {
    Answer([Done] { Done({OrderOutcome::Accepted, WorkerClock(0)}); });
  });
}

void EmulatedNode::advise(const std::string &Step,
                          const std::vector<std::string> &Workers,
                          IAdvisor::Done Answer) {
  Shared_.World_.after(CallTime, [=, this, Reach = delivery()] {
    Advice Given = Shared_.Workers_.advise(Step, Workers);
    Reach([=] { Answer(Given); });
  });
}

void EmulatedNode::list(ListDone Done) {
  Shared_.World_.after(CallTime, [this, Answer = delivery(), Done] {
    MachineList Read = Shared_.Workers_.machines();
    Answer([Done, Read] { Done(Read); });
  });
}

void EmulatedNode::maintain(const MachineOrder &Order, std::uint64_t Wave,
                            IMachineControl::OrderDone Done) {
  Shared_.World_.after(CallTime, [=, this, Answer = delivery()] {
    MachineOutcome Outcome = Shared_.Workers_.maintain(Order, Wave);
    Shared_.World_.after(CallTime, [=] { Answer([=] { Done(Outcome); }); });
  });
}

void EmulatedNode::move(const MachineOrder &Order, const std::string &Pool,
                        IMachineControl::OrderDone Done) {
  Shared_.World_.after(CallTime, [=, this, Answer = delivery()] {
    MachineOutcome Outcome = Shared_.Workers_.move(Order, Pool);
    Shared_.World_.after(CallTime, [=] { Answer([=] { Done(Outcome); }); });
  });
}

void EmulatedNode::reportWave(std::uint64_t Wave, bool IsCompleted,
                              ReportDone Done) {
  StoreTransaction Wanted;
  Wanted.Puts_ = {{{"status", "", "wave/" + std::to_string(Wave)},
                   IsCompleted ? "completed" : "running"}};
  transact(std::move(Wanted), [Done](const StoreTransactionResult &End) {
    Done(End.Outcome_ == StoreOutcome::Done);
  });
}

void EmulatedNode::write(LogLevel, const LogEvent &Event) {
  bool IsLeaseEnd = Event.name() == "pool.lost" &&
                    Event.line().find("cause=lease-ended") != std::string::npos;
  Shared_.LeasesEnded_ += IsLeaseEnd ? 1 : 0;
  if (Shared_.IsLogging_)
    std::printf("%8lld %s %s\n",
                static_cast<long long>(Shared_.World_.elapsed().count()),
                Name_.c_str(), Event.line().c_str());
}

} // namespace dragonflylock
