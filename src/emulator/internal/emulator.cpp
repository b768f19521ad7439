#include "emulator/emulator.h"
#include "emulator/internal/emulatednode.h"
#include "emulator/internal/faultinjector.h"
#include "emulator/internal/idlecapacitychecker.h"
#include "emulator/internal/jobvariety.h"
#include "emulator/internal/pendingcountchecker.h"
#include "emulator/invariantchecker.h"
#include "emulator/modelstore.h"
#include "emulator/modelworkers.h"
#include "emulator/simulation.h"
#include "scheduling/jobrequesthandler.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <cstdlib>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds TrafficStart{4000};
constexpr milliseconds CallerTimeout{3000};
constexpr std::uint32_t MaxSubmitAttempts = 4;
/// A wave may have one in MachinesPerUnavailable machines down at the same
/// time, so that it can finish in time in fleets of any size, and at least
/// MinUnavailable.
constexpr std::uint32_t MachinesPerUnavailable = 8;
constexpr std::uint32_t MinUnavailable = 2;
/// Minimum time for which all nodes are down after a power loss.
constexpr milliseconds PowerLossDuration{1000};
constexpr std::int64_t WorkersPerRack = 4;
/// Longest time until a node has a changed configuration.
constexpr milliseconds MaxConfigurationDelay{600};
/// Jobs that callers submit to a queue when it has been added.
constexpr int JobsPerAddedQueue = 3;
constexpr std::uint32_t MaxQueuesAddedAtOnce = 100;
constexpr milliseconds MinLongEstimate{8000};
constexpr milliseconds MaxLongEstimate{12000};

} // namespace

struct Emulator::Impl {
  explicit Impl(EmulatorOptions Chosen)
      : Options_(Chosen), Simulation_(Chosen.Seed_), Store_(Simulation_),
        Checker_(Simulation_), Workers_(Simulation_, Checker_),
        LongJobRandom_(Simulation_.separateGenerator("long jobs")),
        GivingUpRandom_(Simulation_.separateGenerator("giving up")),
        Context_{Simulation_,           Store_, Workers_, {}, {}, false,
                 Chosen.CpuTimePerCall_} {}

  void setUp();
  void scheduleJobs();
  JobSpec makeJob(const std::string &Id, bool NeedsAdvice);
  void submit(const std::string &Id, const QueueSetting &Queue,
              std::uint32_t Attempt);
  void poll(const std::string &Id, const std::string &Queue);
  void cancel(const std::string &Id, const QueueSetting &Queue);
  /// Cancels a job whose submission got no response, until a node responds.
  void withdraw(const std::string &Id, const QueueSetting &Queue,
                std::uint32_t Attempt);
  EmulatedNode *pickReadyNode();
  void logCaller(const char *Step, const std::string &Id, std::uint32_t Attempt,
                 const std::string &Node) const;
  void announceWave(std::uint64_t Number);
  void submitNew(const std::string &Id, const QueueSetting &Queue);
  /// Puts a configuration in force that differs at random from the last one.
  void changeConfiguration();
  void addQueues();
  void removeAddedQueue();

  EmulatorOptions Options_;
  Simulation Simulation_;
  ModelStore Store_;
  InvariantChecker Checker_;
  ModelWorkers Workers_;
  RandomGenerator LongJobRandom_;
  RandomGenerator GivingUpRandom_;
  EmulationContext Context_;
  std::vector<std::unique_ptr<EmulatedNode>> Nodes_;
  std::unique_ptr<FaultInjector> Faults_;
  std::unique_ptr<IdleCapacityChecker> IdleCapacity_;
  std::unique_ptr<PendingCountChecker> PendingCounts_;
  std::uint64_t NextAddedJob_ = 0;
  std::uint64_t NextAddedQueue_ = 0;
};

void Emulator::Impl::setUp() {
  Context_.IsLogging_ = std::getenv("EMULATOR_LOG") != nullptr;
  Workers_.IsLogging_ = Context_.IsLogging_;
  Context_.Configuration_.Version_ = 1;
  for (std::uint32_t Number = 0; Number < Options_.Pools_; ++Number) {
    std::string Pool = "pool" + std::to_string(Number);
    Context_.Configuration_.Pools_.push_back({Pool, true, false});
    QueueSetting Queue;
    Queue.Name_ = "queue" + std::to_string(Number);
    Queue.Pool_ = Pool;
    Queue.MaxFailedRuns_ = Checker_.MaxFailedRuns_;
    Queue.Stretch_ = 1.6;
    Queue.TargetLatency_ = milliseconds(600);
    Queue.NeedsAdvice_ = Options_.HasAdvice_ && Number + 1 == Options_.Pools_;
    Context_.Configuration_.Queues_.push_back(Queue);
    for (std::uint32_t Worker = 0; Worker < Options_.WorkersPerPool_; ++Worker)
      Workers_.addWorker(Pool, Options_.WorkerCapacity_);
  }
  Context_.Configuration_.Pools_.push_back({"spare", true, true});
  for (std::uint32_t Worker = 0; Worker < Options_.SpareMachines_; ++Worker)
    Workers_.addWorker("spare", Options_.WorkerCapacity_);
  bool IsFirstKind = true;
  for (auto &[Id, Worker] : Workers_.workers()) {
    Worker.FailureProbability_ = Options_.FailureProbability_;
    if (Options_.HasVariedJobs_)
      Worker.Entry_.Labels_ = {IsFirstKind ? FirstWorkerKind
                                           : SecondWorkerKind};
    IsFirstKind = !IsFirstKind;
  }
  for (std::uint32_t Number = 0; Number < Options_.Nodes_; ++Number) {
    const bool IsSmall = Number < Options_.SmallNodes_;
    Nodes_.push_back(std::make_unique<EmulatedNode>(
        "n" + std::to_string(Number), IsSmall ? SmallNodeShare : 1, Context_));
    Simulation_.schedule(
        milliseconds(Simulation_.randomInRange(0, 300)) +
            (IsSmall ? milliseconds(0) : Options_.LargeNodesStartAt_),
        [Node = Nodes_.back().get()] { Node->start(); });
  }
}

JobSpec Emulator::Impl::makeJob(const std::string &Id, bool NeedsAdvice) {
  JobSpec Job;
  Job.Payload_ = "payload of " + Id;
  bool IsLongRunning = Simulation_.withProbability(0.05);
  auto Steps = IsLongRunning ? 1 : Simulation_.randomInRange(1, 3);
  for (std::int64_t Number = 0; Number < Steps; ++Number) {
    StepSpec Step;
    Step.TaskCount_ =
        static_cast<std::uint32_t>(Simulation_.randomInRange(1, 6));
    Step.PerTask_ = {Simulation_.randomInRange(300, 2500),
                     Simulation_.randomInRange(200, 3000), 0};
    Step.Estimate_ = milliseconds(Simulation_.randomInRange(200, 1800));
    Step.IsGang_ = !IsLongRunning && Simulation_.withProbability(0.15);
    Step.PrefersSameRack_ = Step.IsGang_ && Simulation_.withProbability(0.5);
    Step.AllowsDuplicates_ =
        !IsLongRunning && !Step.IsGang_ && Simulation_.withProbability(0.2);
    if (Number > 0)
      Step.After_ = {static_cast<std::uint32_t>(Number - 1)};
    if (IsLongRunning) {
      Step.TaskCount_ = 4;
      Step.IsLongRunning_ = true;
      Step.DisruptionBudget_ = 1;
    }
    Job.Steps_.push_back(Step);
  }
  if (Options_.HasVariedJobs_)
    addVariety(Job, Simulation_,
               static_cast<std::int64_t>(Workers_.workers().size()) /
                   WorkersPerRack,
               /*IsFreeToPlace=*/!NeedsAdvice);
  if (Options_.LongJobShare_ > 0 &&
      LongJobRandom_.withProbability(Options_.LongJobShare_)) {
    auto Last = static_cast<std::int64_t>(Job.Steps_.size()) - 1;
    auto Number = static_cast<std::size_t>(LongJobRandom_.inRange(0, Last));
    Job.Steps_[Number].Estimate_ = milliseconds(LongJobRandom_.inRange(
        MinLongEstimate.count(), MaxLongEstimate.count()));
  }
  return Job;
}

EmulatedNode *Emulator::Impl::pickReadyNode() {
  std::vector<EmulatedNode *> Serving;
  for (auto &Node : Nodes_)
    if (Node->readyScheduler() != nullptr)
      Serving.push_back(Node.get());
  if (Serving.empty())
    return nullptr;
  auto Last = static_cast<std::int64_t>(Serving.size()) - 1;
  return Serving[static_cast<std::size_t>(Simulation_.randomInRange(0, Last))];
}

void Emulator::Impl::scheduleJobs() {
  auto Count = static_cast<std::uint64_t>(
      Options_.JobsPerSecond_ *
      static_cast<double>(Options_.TrafficDuration_.count()) / 1000);
  for (std::uint64_t Number = 0; Number < Count; ++Number) {
    char Id[17];
    std::snprintf(Id, sizeof(Id), "%016" PRIx64, Number + 1);
    auto At = TrafficStart + milliseconds(Simulation_.randomInRange(
                                 0, Options_.TrafficDuration_.count()));
    auto Pool = static_cast<std::size_t>(
        Simulation_.randomInRange(0, Options_.Pools_ - 1));
    Simulation_.schedule(At, [this, Job = std::string(Id), Pool] {
      submitNew(Job, Context_.Configuration_.Queues_[Pool]);
    });
  }
}

void Emulator::Impl::logCaller(const char *Step, const std::string &Id,
                               std::uint32_t Attempt,
                               const std::string &Node) const {
  if (Context_.IsLogging_)
    std::printf("%8lld caller event=caller.%s job=%s attempt=%u node=%s\n",
                static_cast<long long>(Simulation_.elapsed().count()), Step,
                Id.c_str(), Attempt, Node.c_str());
}

void Emulator::Impl::submitNew(const std::string &Id,
                               const QueueSetting &Queue) {
  ObservedJob &Record = Checker_.job(Id);
  Record.Spec_ = makeJob(Id, Queue.NeedsAdvice_);
  Record.Queue_ = Queue.Name_;
  Record.Pool_ = Queue.Pool_;
  Record.NeedsAdvice_ = Queue.NeedsAdvice_;
  if (Options_.DeadlyJobShare_ > 0 &&
      Simulation_.withProbability(Options_.DeadlyJobShare_))
    Record.DeadlyTask_ = TaskName{Id, 0, 0, 0};
  submit(Id, Queue, 1);
}

void Emulator::Impl::changeConfiguration() {
  std::vector<QueueSetting> &Queues = Context_.Configuration_.Queues_;
  ++Context_.Configuration_.Version_;
  std::int64_t Kind = Simulation_.randomInRange(0, 3);
  if (Kind == 0)
    Queues.front().TargetLatency_ =
        milliseconds(Simulation_.randomInRange(300, 900));
  else if (Kind < 3 || Queues.size() <= Options_.Pools_)
    addQueues();
  else
    removeAddedQueue();
  for (auto &Node : Nodes_)
    Node->updateConfiguration(milliseconds(
        Simulation_.randomInRange(0, MaxConfigurationDelay.count())));
}

void Emulator::Impl::addQueues() {
  bool IsLarge = Simulation_.withProbability(0.1);
  for (std::uint32_t Number = 0; Number < (IsLarge ? MaxQueuesAddedAtOnce : 1);
       ++Number) {
    auto Pool = static_cast<std::size_t>(
        Simulation_.randomInRange(0, Options_.Pools_ - 1));
    QueueSetting Queue = Context_.Configuration_.Queues_[Pool];
    Queue.Name_ = "added" + std::to_string(NextAddedQueue_++);
    Context_.Configuration_.Queues_.push_back(Queue);
    for (int Job = 0; Number == 0 && Job < JobsPerAddedQueue; ++Job) {
      char Id[17];
      std::snprintf(Id, sizeof(Id), "a%015" PRIx64, ++NextAddedJob_);
      Simulation_.schedule(
          milliseconds(Simulation_.randomInRange(0, 1500)),
          [this, Name = std::string(Id), Queue] { submitNew(Name, Queue); });
    }
  }
}

void Emulator::Impl::removeAddedQueue() {
  auto &Queues = Context_.Configuration_.Queues_;
  auto Last = static_cast<std::int64_t>(Queues.size()) - 1;
  Queues.erase(Queues.begin() +
               Simulation_.randomInRange(Options_.Pools_, Last));
}

void Emulator::Impl::submit(const std::string &Id, const QueueSetting &Queue,
                            std::uint32_t Attempt) {
  auto ScheduleRetry = [this, Id, Queue, Attempt](milliseconds Delay) {
    if (Attempt < MaxSubmitAttempts)
      Simulation_.schedule(Delay,
                           [=, this] { submit(Id, Queue, Attempt + 1); });
  };
  EmulatedNode *Node = pickReadyNode();
  // A node that doesn't know the queue answers that there is none.
  if (Node == nullptr ||
      Node->readyScheduler()->configuration()->queue(Queue.Name_) == nullptr) {
    ScheduleRetry(milliseconds(500));
    return;
  }
  logCaller("submitted", Id, Attempt, Node->name());
  Checker_.onSubmitted(Id);
  auto HasResponse = std::make_shared<bool>(false);
  Node->readyScheduler()->jobRequests().submit(
      Queue, Id, Checker_.job(Id).Spec_, CallerTimeout,
      [=, this](const JobResponse &Response) {
        *HasResponse = true;
        if (Response.Outcome_ == JobRequestOutcome::Accepted) {
          Checker_.onAccepted(Id);
          bool IsCancelled = Simulation_.withProbability(0.08);
          Simulation_.schedule(
              milliseconds(Simulation_.randomInRange(100, 4000)), [=, this] {
                if (IsCancelled)
                  cancel(Id, Queue);
                else
                  poll(Id, Queue.Name_);
              });
          return;
        }
        if (Response.Outcome_ == JobRequestOutcome::Refused)
          Checker_.onRefused(Id);
        else if (GivingUpRandom_.withProbability(Options_.GivingUpShare_)) {
          withdraw(Id, Queue, 1);
          return;
        }
        ScheduleRetry(Response.RetryAfter_ + milliseconds(100));
      });
  Simulation_.schedule(CallerTimeout, [=, this, Name = Node->name()] {
    if (*HasResponse)
      return;
    logCaller("timed-out", Id, Attempt, Name);
    if (GivingUpRandom_.withProbability(Options_.GivingUpShare_))
      withdraw(Id, Queue, 1);
    else
      ScheduleRetry(milliseconds(100));
  });
}

void Emulator::Impl::poll(const std::string &Id, const std::string &Queue) {
  const ObservedJob &Record = Checker_.job(Id);
  if (Record.WasReportedCompleted_ || Record.WasReportedFailed_)
    return;
  Simulation_.schedule(Options_.PollInterval_, [=, this] { poll(Id, Queue); });
  EmulatedNode *Node = pickReadyNode();
  if (Node == nullptr)
    return;
  Node->readyScheduler()->jobRequests().state(
      Queue, Id, CallerTimeout, [=, this](const JobResponse &Response) {
        if (Response.Outcome_ == JobRequestOutcome::Accepted)
          Checker_.onStateReported(Id, Response.State_);
        if (Response.Outcome_ == JobRequestOutcome::NoSuchJob)
          Simulation_.reportViolation(
              "LOST", Id + " was accepted but is unknown to the scheduler");
      });
}

void Emulator::Impl::cancel(const std::string &Id, const QueueSetting &Queue) {
  EmulatedNode *Node = pickReadyNode();
  if (Node == nullptr) {
    poll(Id, Queue.Name_);
    return;
  }
  Checker_.onCancellationSent(Id);
  Node->readyScheduler()->jobRequests().cancel(
      Queue, Id, CallerTimeout, [=, this](const JobResponse &Response) {
        bool IsCancelled = Response.Outcome_ == JobRequestOutcome::Accepted &&
                           Response.State_ == JobPhase::Cancelled;
        if (Response.Outcome_ != JobRequestOutcome::Unknown)
          Checker_.onCancellationSettled(Id, IsCancelled);
        if (!IsCancelled)
          poll(Id, Queue.Name_);
      });
}

void Emulator::Impl::withdraw(const std::string &Id, const QueueSetting &Queue,
                              std::uint32_t Attempt) {
  auto ScheduleRetry = [=, this] {
    if (Attempt < MaxSubmitAttempts)
      Simulation_.schedule(milliseconds(100),
                           [=, this] { withdraw(Id, Queue, Attempt + 1); });
  };
  EmulatedNode *Node = pickReadyNode();
  if (Node == nullptr) {
    ScheduleRetry();
    return;
  }
  logCaller("withdrawn", Id, Attempt, Node->name());
  Checker_.onCancellationSent(Id);
  Node->readyScheduler()->jobRequests().cancel(
      Queue, Id, CallerTimeout, [=, this](const JobResponse &Response) {
        const bool IsCancelled =
            Response.Outcome_ == JobRequestOutcome::NoSuchJob ||
            (Response.Outcome_ == JobRequestOutcome::Accepted &&
             Response.State_ == JobPhase::Cancelled);
        if (IsCancelled)
          Checker_.onCancellationSettled(Id, true);
        else
          ScheduleRetry();
      });
}

void Emulator::Impl::announceWave(std::uint64_t Number) {
  MaintenanceWave Wave;
  Wave.Number_ = Number;
  Wave.Duration_ = Options_.TrafficDuration_;
  auto Machines = static_cast<std::uint32_t>(Workers_.workers().size());
  Wave.MaxUnavailable_ =
      std::max(MinUnavailable, Machines / MachinesPerUnavailable);
  Checker_.MaxMachinesDown_[Number] = Wave.MaxUnavailable_;
  for (const auto &[Id, Worker] : Workers_.workers())
    if (Simulation_.withProbability(0.5))
      Wave.Machines_.push_back(Worker.Entry_.Machine_);
  Context_.Waves_.push_back(Wave);
}

Emulator::Emulator(EmulatorOptions Options)
    : Impl_(std::make_unique<Impl>(Options)) {}

Emulator::~Emulator() = default;

EmulatorReport Emulator::run() {
  Impl &Emulation = *Impl_;
  Emulation.Checker_.HasNoDisruptions_ =
      Emulation.Options_.Faults_ == 0 &&
      Emulation.Options_.ReturningWorkersFaults_ == 0 &&
      !Emulation.Options_.HasMaintenanceWave_;
  Emulation.Store_.setLinkBandwidth(Emulation.Options_.LinkBytesPerSecond_);
  Emulation.setUp();
  Emulation.scheduleJobs();
  Emulation.Faults_ =
      std::make_unique<FaultInjector>(Emulation.Simulation_, Emulation.Store_,
                                      Emulation.Workers_, Emulation.Nodes_);
  Emulation.Checker_.IsCalm_ = [&Emulation] {
    return Emulation.Simulation_.now() >= Emulation.Faults_->lastFaultEnd();
  };
  Emulation.Faults_->scheduleFaults(Emulation.Options_.Faults_, TrafficStart,
                                    Emulation.Options_.TrafficDuration_);
  Emulation.Faults_->scheduleReturningWorkers(
      Emulation.Options_.ReturningWorkersFaults_, TrafficStart,
      Emulation.Options_.TrafficDuration_);
  if (Emulation.Options_.PowerLossAt_)
    Emulation.Simulation_.schedule(
        *Emulation.Options_.PowerLossAt_,
        [&Emulation] { Emulation.Faults_->killAllNodes(PowerLossDuration); });
  if (Emulation.Options_.HasMaintenanceWave_)
    for (std::uint32_t Wave = 0; Wave < Emulation.Options_.Waves_; ++Wave)
      Emulation.Simulation_.schedule(
          TrafficStart + Emulation.Options_.TrafficDuration_ * Wave /
                             (2 * Emulation.Options_.Waves_),
          [&Emulation, Wave] { Emulation.announceWave(Wave + 1); });
  for (std::uint32_t Change = 0;
       Change < Emulation.Options_.ConfigurationChanges_; ++Change)
    Emulation.Simulation_.schedule(
        TrafficStart + milliseconds(Emulation.Simulation_.randomInRange(
                           0, Emulation.Options_.TrafficDuration_.count())),
        [&Emulation] { Emulation.changeConfiguration(); });
  if (Emulation.Options_.ChecksIdleCapacity_) {
    Emulation.IdleCapacity_ = std::make_unique<IdleCapacityChecker>(
        Emulation.Simulation_, Emulation.Checker_, Emulation.Workers_,
        *Emulation.Faults_);
    Emulation.IdleCapacity_->check();
  }
  std::vector<std::string> Queues;
  for (const QueueSetting &Queue : Emulation.Context_.Configuration_.Queues_)
    Queues.push_back(Queue.Name_);
  Emulation.PendingCounts_ = std::make_unique<PendingCountChecker>(
      Emulation.Simulation_, Emulation.Checker_, Emulation.Nodes_,
      *Emulation.Faults_, std::move(Queues));
  Emulation.PendingCounts_->check();
  Emulation.Simulation_.runUntil(TrafficStart +
                                 Emulation.Options_.TrafficDuration_ +
                                 Emulation.Options_.CompletionTimeout_);
  Emulation.Checker_.checkAllJobsEnded();
  EmulatorReport Report;
  Report.Violations_ = Emulation.Simulation_.violations();
  Report.Faults_ = Emulation.Faults_->injectedFaults();
  Report.Completed_ = Emulation.Checker_.completedCount();
  Report.ExpiredPoolLeases_ = Emulation.Context_.ExpiredPoolLeases_;
  Report.CrashesByTasks_ = Emulation.Workers_.crashesByTasks();
  for (const auto &[Id, Job] : Emulation.Checker_.jobs()) {
    bool IsGivenUp = Job.WasReportedFailed_ && Job.Failures_.empty();
    Report.GivenUpWithoutCause_ += IsGivenUp && !Job.DeadlyTask_ ? 1 : 0;
    ++Report.Jobs_;
    Report.Accepted_ += Job.IsAccepted_ ? 1 : 0;
  }
  return Report;
}

} // namespace dragonflylock
