#include "emulator/emulator.h"
#include "emulator/internal/emulatednode.h"
#include "emulator/internal/faultplayer.h"
#include "emulator/modelstore.h"
#include "emulator/modelworkers.h"
#include "emulator/ruleledger.h"
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
constexpr milliseconds CallerLimit{3000};
constexpr std::uint32_t CallerAttempts = 4;
/// Machines of a wave that may be down together: one of so many, so that the
/// wave can be in time in fleets of any size, and at least the second number.
constexpr std::uint32_t MachinesForEachDown = 8;
constexpr std::uint32_t FewestAtOnce = 2;
/// Time for which all nodes are down.
constexpr milliseconds PowerLoss{1000};

} // namespace

struct Emulator::Parts {
  explicit Parts(EmulatorPlan Chosen)
      : Plan_(Chosen), World_(Chosen.Seed_), Store_(World_), Rules_(World_),
        Workers_(World_, Rules_), Shared_{World_, Store_, Workers_,        {},
                                          {},     false,  Chosen.CallTime_} {}

  void build();
  void planTraffic();
  JobSpec makeJob(const std::string &Id);
  void submit(const std::string &Id, const QueueSetting &Queue,
              std::uint32_t Attempt);
  void poll(const std::string &Id, const std::string &Queue);
  void cancel(const std::string &Id, const std::string &Queue);
  EmulatedNode *anyNode();
  void announceWave();

  EmulatorPlan Plan_;
  Simulation World_;
  ModelStore Store_;
  RuleLedger Rules_;
  ModelWorkers Workers_;
  EmulatedWorld Shared_;
  std::vector<std::unique_ptr<EmulatedNode>> Nodes_;
  std::unique_ptr<FaultPlayer> Faults_;
  std::uint64_t NextJob_ = 0;
};

void Emulator::Parts::build() {
  Shared_.IsLogging_ = std::getenv("EMULATOR_LOG") != nullptr;
  Shared_.Configuration_.Version_ = 1;
  for (std::uint32_t Number = 0; Number < Plan_.Pools_; ++Number) {
    std::string Pool = "pool" + std::to_string(Number);
    Shared_.Configuration_.Pools_.push_back({Pool, true, false});
    QueueSetting Queue;
    Queue.Name_ = "queue" + std::to_string(Number);
    Queue.Pool_ = Pool;
    Queue.MaxFailedRuns_ = Rules_.MaxFailedRuns_;
    Queue.Stretch_ = 1.6;
    Queue.TargetLatency_ = milliseconds(600);
    Queue.NeedsAdvice_ = Plan_.HasAdvice_ && Number + 1 == Plan_.Pools_;
    Shared_.Configuration_.Queues_.push_back(Queue);
    for (std::uint32_t Worker = 0; Worker < Plan_.WorkersPerPool_; ++Worker)
      Workers_.add(Pool, Plan_.WorkerCapacity_);
  }
  Shared_.Configuration_.Pools_.push_back({"spare", true, true});
  for (std::uint32_t Worker = 0; Worker < Plan_.SpareMachines_; ++Worker)
    Workers_.add("spare", Plan_.WorkerCapacity_);
  for (auto &[Id, Worker] : Workers_.all())
    Worker.FailShare_ = Plan_.FailShare_;
  for (std::uint32_t Number = 0; Number < Plan_.Nodes_; ++Number) {
    Nodes_.push_back(
        std::make_unique<EmulatedNode>("n" + std::to_string(Number), Shared_));
    World_.after(milliseconds(World_.between(0, 300)),
                 [Node = Nodes_.back().get()] { Node->start(); });
  }
}

JobSpec Emulator::Parts::makeJob(const std::string &Id) {
  JobSpec Job;
  Job.Payload_ = "payload of " + Id;
  bool IsLasting = World_.happens(0.05);
  auto Steps = IsLasting ? 1 : World_.between(1, 3);
  for (std::int64_t Number = 0; Number < Steps; ++Number) {
    StepSpec Step;
    Step.TaskCount_ = static_cast<std::uint32_t>(World_.between(1, 6));
    Step.PerTask_ = {World_.between(300, 2500), World_.between(200, 3000), 0};
    Step.Estimate_ = milliseconds(World_.between(200, 1800));
    Step.IsGang_ = !IsLasting && World_.happens(0.15);
    Step.PrefersSameRack_ = Step.IsGang_ && World_.happens(0.5);
    Step.AllowsDuplicates_ = !IsLasting && !Step.IsGang_ && World_.happens(0.2);
    if (Number > 0)
      Step.After_ = {static_cast<std::uint32_t>(Number - 1)};
    if (IsLasting) {
      Step.TaskCount_ = 4;
      Step.IsLongRunning_ = true;
      Step.DisruptionBudget_ = 1;
    }
    Job.Steps_.push_back(Step);
  }
  return Job;
}

EmulatedNode *Emulator::Parts::anyNode() {
  std::vector<EmulatedNode *> Serving;
  for (auto &Node : Nodes_)
    if (Node->serving() != nullptr)
      Serving.push_back(Node.get());
  if (Serving.empty())
    return nullptr;
  auto Last = static_cast<std::int64_t>(Serving.size()) - 1;
  return Serving[static_cast<std::size_t>(World_.between(0, Last))];
}

void Emulator::Parts::planTraffic() {
  auto Count = static_cast<std::uint64_t>(
      Plan_.JobsPerSecond_ * static_cast<double>(Plan_.Traffic_.count()) /
      1000);
  for (std::uint64_t Number = 0; Number < Count; ++Number) {
    char Id[17];
    std::snprintf(Id, sizeof(Id), "%016" PRIx64, Number + 1);
    auto At =
        TrafficStart + milliseconds(World_.between(0, Plan_.Traffic_.count()));
    auto Pool = static_cast<std::size_t>(World_.between(0, Plan_.Pools_ - 1));
    World_.after(At, [this, Job = std::string(Id), Pool] {
      const QueueSetting &Queue = Shared_.Configuration_.Queues_[Pool];
      JobRecord &Record = Rules_.job(Job);
      Record.Spec_ = makeJob(Job);
      Record.Pool_ = Queue.Pool_;
      Record.NeedsAdvice_ = Queue.NeedsAdvice_;
      submit(Job, Queue, 1);
    });
  }
}

void Emulator::Parts::submit(const std::string &Id, const QueueSetting &Queue,
                             std::uint32_t Attempt) {
  auto Again = [this, Id, Queue, Attempt](milliseconds Delay) {
    if (Attempt < CallerAttempts)
      World_.after(Delay, [=, this] { submit(Id, Queue, Attempt + 1); });
  };
  EmulatedNode *Node = anyNode();
  if (Node == nullptr) {
    Again(milliseconds(500));
    return;
  }
  JobRecord &Record = Rules_.job(Id);
  // Until a refusal says otherwise, the attempt may succeed.
  bool MayBefore = Record.MayBeAccepted_;
  Record.MayBeAccepted_ = true;
  auto IsAnswered = std::make_shared<bool>(false);
  Node->serving()->jobRequests().submit(
      Queue, Id, Record.Spec_, CallerLimit,
      [=, this](const JobResponse &Answer) {
        *IsAnswered = true;
        if (Answer.Outcome_ == JobRequestOutcome::Accepted) {
          Rules_.onAccepted(Id);
          bool IsCancelled = World_.happens(0.08);
          World_.after(milliseconds(World_.between(100, 4000)), [=, this] {
            if (IsCancelled)
              cancel(Id, Queue.Name_);
            else
              poll(Id, Queue.Name_);
          });
          return;
        }
        if (Answer.Outcome_ == JobRequestOutcome::Refused)
          Rules_.job(Id).MayBeAccepted_ = MayBefore;
        Again(Answer.RetryAfter_ + milliseconds(100));
      });
  World_.after(CallerLimit, [=] {
    if (!*IsAnswered)
      Again(milliseconds(100));
  });
}

void Emulator::Parts::poll(const std::string &Id, const std::string &Queue) {
  const JobRecord &Record = Rules_.job(Id);
  if (Record.IsShownCompleted_ || Record.IsShownFailed_)
    return;
  World_.after(Plan_.PollInterval_, [=, this] { poll(Id, Queue); });
  EmulatedNode *Node = anyNode();
  if (Node == nullptr)
    return;
  Node->serving()->jobRequests().state(
      Queue, Id, CallerLimit, [=, this](const JobResponse &Answer) {
        if (Answer.Outcome_ == JobRequestOutcome::Accepted)
          Rules_.onShown(Id, Answer.State_);
        if (Answer.Outcome_ == JobRequestOutcome::NoSuchJob)
          World_.breaks("LOST", Id + " was accepted and is not known");
      });
}

void Emulator::Parts::cancel(const std::string &Id, const std::string &Queue) {
  EmulatedNode *Node = anyNode();
  if (Node == nullptr) {
    poll(Id, Queue);
    return;
  }
  // Until an answer comes, the cancellation may or may not be stored.
  Rules_.job(Id).MayBeCancelled_ = true;
  Node->serving()->jobRequests().cancel(
      Queue, Id, CallerLimit, [=, this](const JobResponse &Answer) {
        bool IsUnknown = Answer.Outcome_ == JobRequestOutcome::Unknown;
        Rules_.job(Id).MayBeCancelled_ = IsUnknown;
        if (Answer.Outcome_ == JobRequestOutcome::Accepted &&
            Answer.State_ == JobPhase::Cancelled)
          Rules_.job(Id).CancelledAt_ = World_.now();
        else
          poll(Id, Queue);
      });
}

void Emulator::Parts::announceWave() {
  MaintenanceWave Wave;
  Wave.Number_ = 1;
  Wave.Duration_ = Plan_.Traffic_;
  auto Machines = static_cast<std::uint32_t>(Workers_.all().size());
  Wave.MaxUnavailable_ = std::max(FewestAtOnce, Machines / MachinesForEachDown);
  Rules_.MostDown_ = Wave.MaxUnavailable_;
  for (const auto &[Id, Worker] : Workers_.all())
    if (World_.happens(0.5))
      Wave.Machines_.push_back(Worker.Entry_.Machine_);
  Shared_.Wave_ = Wave;
}

Emulator::Emulator(EmulatorPlan Plan) : Parts_(std::make_unique<Parts>(Plan)) {}

Emulator::~Emulator() = default;

EmulatorReport Emulator::run() {
  Parts &World = *Parts_;
  World.Rules_.IsCalm_ = World.Plan_.Faults_ == 0 && !World.Plan_.HasWave_;
  World.Store_.setLink(World.Plan_.LinkBytesPerSecond_);
  World.build();
  World.planTraffic();
  World.Faults_ = std::make_unique<FaultPlayer>(World.World_, World.Store_,
                                                World.Workers_, World.Nodes_);
  World.Faults_->plan(World.Plan_.Faults_, TrafficStart, World.Plan_.Traffic_);
  if (World.Plan_.PowerLossAt_)
    World.World_.after(*World.Plan_.PowerLossAt_,
                       [&World] { World.Faults_->killAll(PowerLoss); });
  if (World.Plan_.HasWave_)
    World.World_.after(TrafficStart, [&World] { World.announceWave(); });
  World.World_.runUntil(TrafficStart + World.Plan_.Traffic_ +
                        World.Plan_.Finish_);
  World.Rules_.checkEnd();
  EmulatorReport Report;
  Report.Broken_ = World.World_.broken();
  Report.Faults_ = World.Faults_->played();
  Report.Completed_ = World.Rules_.completed();
  Report.LeasesEnded_ = World.Shared_.LeasesEnded_;
  for (const auto &[Id, Job] : World.Rules_.jobs()) {
    ++Report.Jobs_;
    Report.Accepted_ += Job.IsAccepted_ ? 1 : 0;
  }
  return Report;
}

} // namespace dragonflylock
