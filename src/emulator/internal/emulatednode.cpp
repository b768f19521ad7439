#include "emulator/internal/emulatednode.h"
#include "emulator/simulation.h"
#include "global/logevent.h"
#include "scheduling/poolview.h"

#include <algorithm>
#include <cstdio>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds TickInterval{40};
constexpr milliseconds CallLatency{10};
/// Time from a graceful stop to the end of the process.
constexpr milliseconds GracefulStopDuration{2500};

} // namespace

EmulatedNode::EmulatedNode(std::string Name, double Cores,
                           EmulationContext &Context)
    : Name_(std::move(Name)), Cores_(Cores), Context_(Context) {}

void EmulatedNode::start() {
  if (Node_)
    return;
  ++Incarnation_;
  WaveStates_.emplace(*this);
  IsStopping_ = false;
  IsTickQueued_ = false;
  CpuBusyUntil_ = TimePoint();
  FollowedWorkers_.reset();
  SchedulingSettings Settings;
  Settings.Node_ = Name_;
  Settings.Cores_ = Cores_;
  Node_ = SchedulerNode::Builder()
              .settings(Settings)
              .process(Name_ + "/" + std::to_string(Incarnation_))
              .clock(Context_.Simulation_)
              .store(*this)
              .workers(*this)
              .machines(*this)
              .advisor(*this)
              .logger(*this)
              .build();
  Node_->onConfiguration(Context_.Configuration_);
  tick(Incarnation_);
}

void EmulatedNode::kill() {
  ++Incarnation_;
  Node_.reset();
}

void EmulatedNode::freeze(milliseconds Duration) {
  FrozenUntil_ = Context_.Simulation_.now() + Duration;
}

void EmulatedNode::stopGracefully() {
  if (!Node_)
    return;
  IsStopping_ = true;
  Node_->release();
  Context_.Simulation_.schedule(GracefulStopDuration,
                                [this, Incarnation = Incarnation_] {
                                  if (Incarnation == Incarnation_)
                                    kill();
                                });
}

SchedulerNode *EmulatedNode::readyScheduler() {
  bool IsServing =
      Node_ && Context_.Simulation_.now() >= FrozenUntil_ && Node_->isReady();
  return IsServing ? Node_.get() : nullptr;
}

bool EmulatedNode::ownsPool(const std::string &Pool) const {
  if (!Node_)
    return false;
  std::vector<PoolView> Owned = Node_->pools();
  return std::any_of(Owned.begin(), Owned.end(),
                     [&](const PoolView &Each) { return Each.Pool_ == Pool; });
}

ModelStore::Responder EmulatedNode::responder() {
  return [this, Incarnation = Incarnation_](const Work &Next) {
    deliver(Incarnation, Next);
  };
}

void EmulatedNode::queueOnCpu(std::uint64_t Incarnation, const Work &Next) {
  if (Context_.CpuTimePerCall_.count() == 0) {
    Next();
    return;
  }
  Simulation &Sim = Context_.Simulation_;
  CpuBusyUntil_ = std::max(CpuBusyUntil_, Sim.now()) +
                  std::chrono::duration_cast<std::chrono::microseconds>(
                      Context_.CpuTimePerCall_ / Cores_);
  Sim.schedule(
      std::chrono::ceil<std::chrono::microseconds>(CpuBusyUntil_ - Sim.now()),
      [this, Incarnation, Next] {
        if (Incarnation == Incarnation_)
          Next();
      });
}

void EmulatedNode::deliver(std::uint64_t Incarnation, const Work &Next) {
  if (Incarnation != Incarnation_ || !Node_)
    return;
  queueOnCpu(Incarnation, [this, Incarnation, Next] {
    runWhenNotFrozen(Incarnation, Next);
  });
}

void EmulatedNode::runWhenNotFrozen(std::uint64_t Incarnation,
                                    const Work &Next) {
  if (Incarnation != Incarnation_ || !Node_)
    return;
  if (Context_.Simulation_.now() < FrozenUntil_) {
    Context_.Simulation_.schedule(
        FrozenUntil_ - Context_.Simulation_.now() > std::chrono::nanoseconds(0)
            ? std::chrono::ceil<std::chrono::microseconds>(
                  FrozenUntil_ - Context_.Simulation_.now())
            : std::chrono::microseconds(0),
        [this, Incarnation, Next] { runWhenNotFrozen(Incarnation, Next); });
    return;
  }
  Next();
  // With the CPU model, the node makes its decisions on timer ticks only, on
  // all responses received since the last one.
  if (Node_ && Context_.CpuTimePerCall_.count() == 0)
    Node_->tick();
}

void EmulatedNode::deliverFleetState() {
  for (const MaintenanceWave &Wave : Context_.Waves_)
    Node_->onWave(Wave);
  deliverWorkers();
}

void EmulatedNode::deliverWorkers() {
  if (!Node_->needsWorkers()) {
    if (FollowedWorkers_)
      Node_->onWorkersUnfollowed();
    FollowedWorkers_.reset();
    return;
  }
  std::vector<WorkerEntry> Entries = Context_.Workers_.registeredEntries();
  if (FollowedWorkers_)
    deliverWorkerChanges(Entries);
  else
    Node_->onWorkerSnapshot(Entries);
  FollowedWorkers_.emplace();
  for (const WorkerEntry &Worker : Entries)
    FollowedWorkers_->insert(Worker.Id_);
}

void EmulatedNode::deliverWorkerChanges(
    const std::vector<WorkerEntry> &Entries) {
  std::set<std::string> Removed = *FollowedWorkers_;
  for (const WorkerEntry &Worker : Entries) {
    Removed.erase(Worker.Id_);
    Node_->onWorker(Worker);
  }
  for (const std::string &Id : Removed)
    Node_->onWorkerRemoved(Id);
}

void EmulatedNode::updateConfiguration(milliseconds Delay) {
  Context_.Simulation_.schedule(Delay, [this, Incarnation = Incarnation_] {
    deliver(Incarnation,
            [this] { Node_->onConfiguration(Context_.Configuration_); });
  });
}

void EmulatedNode::tick(std::uint64_t Incarnation) {
  if (Incarnation != Incarnation_)
    return;
  if (!IsTickQueued_) {
    IsTickQueued_ = Context_.CpuTimePerCall_.count() > 0;
    deliver(Incarnation, [this] {
      IsTickQueued_ = false;
      deliverFleetState();
      if (Context_.CpuTimePerCall_.count() > 0)
        Node_->tick();
    });
  }
  Context_.Simulation_.schedule(TickInterval,
                                [this, Incarnation] { tick(Incarnation); });
}

void EmulatedNode::transact(StoreTransaction Transaction,
                            TransactionCallback Done) {
  queueOnCpu(Incarnation_, [=, this, Respond = responder()] {
    Context_.Store_.transact(Name_, Respond, Transaction, Done);
  });
}

void EmulatedNode::readRange(const std::string &Table,
                             const std::string &Partition,
                             const std::string &From, const std::string &To,
                             std::size_t MaxRows, RangeCallback Done) {
  queueOnCpu(Incarnation_, [=, this, Respond = responder()] {
    Context_.Store_.readRange(Name_, Respond, {Table, Partition, From}, To,
                              MaxRows, Done);
  });
}

void EmulatedNode::awaitChanges(const std::string &Table, StoreVersion After,
                                milliseconds WaitTimeout,
                                ChangesCallback Done) {
  queueOnCpu(Incarnation_, [=, this, Respond = responder()] {
    Context_.Store_.awaitChanges(Name_, Respond, Table, After, WaitTimeout,
                                 Done);
  });
}

void EmulatedNode::start(const WorkerTarget &Target, const StartOrder &Order,
                         IWorkerControl::OrderCallback Done) {
  queueOnCpu(Incarnation_, [=, this, Respond = responder()] {
    Context_.Workers_.start(Name_, Respond, Target, Order, Done);
  });
}

void EmulatedNode::stop(const WorkerTarget &Target, const TaskName &Task,
                        RunNumber Run, FencingToken Token,
                        IWorkerControl::OrderCallback Done) {
  queueOnCpu(Incarnation_, [=, this, Respond = responder()] {
    Context_.Workers_.stop(Name_, Respond, Target, Task, Run, Token, Done);
  });
}

void EmulatedNode::hold(const WorkerTarget &Target, const HoldOrder &Order,
                        HoldCallback Done) {
  queueOnCpu(Incarnation_, [=, this, Respond = responder()] {
    Context_.Workers_.hold(Name_, Respond, Target, Order, Done);
  });
}

void EmulatedNode::pace(const WorkerTarget &Target, const TaskName &, RunNumber,
                        std::uint32_t, FencingToken Token,
                        IWorkerControl::OrderCallback Done) {
  queueOnCpu(Incarnation_, [=, this, Respond = responder()] {
    Context_.Workers_.pace(Name_, Respond, Target, Token, Done);
  });
}

void EmulatedNode::advise(const std::string &Step,
                          const std::vector<std::string> &Workers,
                          IAdvisor::Done Callback) {
  Context_.Simulation_.schedule(CallLatency, [=, this, Reply = responder()] {
    Advice Result = Context_.Workers_.advise(Step, Workers);
    Reply([=] { Callback(Result); });
  });
}

void EmulatedNode::list(ListDone Done) {
  Context_.Simulation_.schedule(
      CallLatency, [this, Respond = responder(), Done] {
        MachineList Read = Context_.Workers_.machines();
        Respond([Done, Read] { Done(Read); });
      });
}

void EmulatedNode::maintain(const MachineOrder &Order, std::uint64_t Wave,
                            IMachineControl::OrderDone Done) {
  Context_.Simulation_.schedule(CallLatency, [=, this, Respond = responder()] {
    MachineOutcome Outcome = Context_.Workers_.maintain(Order, Wave);
    Context_.Simulation_.schedule(CallLatency,
                                  [=] { Respond([=] { Done(Outcome); }); });
  });
}

void EmulatedNode::move(const MachineOrder &Order, const std::string &Pool,
                        IMachineControl::OrderDone Done) {
  Context_.Simulation_.schedule(CallLatency, [=, this, Respond = responder()] {
    MachineOutcome Outcome = Context_.Workers_.move(Order, Pool);
    Context_.Simulation_.schedule(CallLatency,
                                  [=] { Respond([=] { Done(Outcome); }); });
  });
}

void EmulatedNode::reportWave(std::uint64_t Wave, bool IsCompleted,
                              ReportDone Done) {
  WaveStates_->write({"status", "", "wave/" + std::to_string(Wave)},
                     IsCompleted ? "completed" : "running",
                     [Done](const StoreTransactionResult &TransactionResult) {
                       Done(TransactionResult.Outcome_ == StoreOutcome::Done);
                     });
}

void EmulatedNode::write(LogLevel, const LogEvent &Event) {
  bool IsLeaseEnd = Event.name() == "pool.lost" &&
                    Event.line().find("cause=lease-ended") != std::string::npos;
  Context_.ExpiredPoolLeases_ += IsLeaseEnd ? 1 : 0;
  if (Context_.IsLogging_)
    std::printf("%8lld %s %s\n",
                static_cast<long long>(Context_.Simulation_.elapsed().count()),
                Name_.c_str(), Event.line().c_str());
}

} // namespace dragonflylock
