#include "ownerload/modelpool.h"
#include "scheduling/demandtracker.h"
#include "scheduling/jobrowcodec.h"
#include "scheduling/jobrows.h"
#include "scheduling/machineordertracker.h"
#include "scheduling/poolowner.h"
#include "scheduling/poolview.h"
#include "scheduling/schedulingsettings.h"
#include "scheduling/tests/mocks/fakefleet.h"

#include <functional>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr Resources WorkerCapacity{16000, 64000, 0};
/// Ten tasks fill a worker.
constexpr Resources TaskRoom{1600, 2000, 0};
/// Time between two answers in a pool with 1,300 of them a second.
constexpr std::chrono::microseconds EventInterval{770};
constexpr std::size_t Racks = 8;

/// The steps of a job, 13 tasks in all, each after the one before.
constexpr std::uint32_t TasksOfSteps[] = {4, 4, 4, 1};

JobSpec specOf(std::uint32_t Number) {
  JobSpec Spec;
  Spec.Payload_ = std::string(200, 'p');
  for (std::uint32_t Tasks : TasksOfSteps) {
    StepSpec Step;
    Step.TaskCount_ = Tasks;
    Step.PerTask_ = TaskRoom;
    Step.Estimate_ = milliseconds(300 + Number % 7 * 100);
    if (!Spec.Steps_.empty())
      Step.After_ = {static_cast<std::uint32_t>(Spec.Steps_.size()) - 1};
    Spec.Steps_.push_back(Step);
  }
  return Spec;
}

/// What runs on a worker, and the ends that it has not been told to forget.
struct ModelWorker {
  std::map<TaskName, RunNumber> Running_;
  std::deque<ListedEnd> Ended_;
  std::uint64_t LastSequence_ = 0;
};

} // namespace

struct ModelPool::Parts {
  Parts() : Ledger_("node-1", Clock_) {}

  void answerStart();
  void answerHold(bool HasEnd);
  void tickOwner() {
    Clock_.advance(std::chrono::duration_cast<milliseconds>(Passed_));
    Passed_ %= milliseconds(1);
    Owner_->tick();
  }

  ManualClock Clock_;
  SilentLogger Logger_;
  InstantStore Store_;
  RecordingWorkers Workers_;
  AcceptingMachines Machines_;
  RecordingAdvisor Advisor_;
  MachineOrderTracker Ledger_;
  DemandTracker Demands_;
  SchedulingSettings Settings_;
  std::vector<WorkerEntry> Entries_;
  std::unique_ptr<PoolOwner> Owner_;
  std::map<std::string, ModelWorker> Model_;
  std::chrono::microseconds Passed_{0};
  std::uint64_t Starts_ = 0;
  std::uint64_t Ends_ = 0;
  std::uint64_t Digest_ = 0;
};

ModelPool::ModelPool(std::uint32_t Workers, std::uint32_t Jobs)
    : Parts_(std::make_unique<Parts>()) {
  auto Configuration = std::make_shared<SchedulingConfiguration>();
  QueueSetting Queue;
  Queue.Name_ = "queue";
  Queue.Pool_ = "pool";
  Queue.MaxFailedRuns_ = 4;
  Queue.TargetLatency_ = milliseconds(2000);
  Configuration->Queues_ = {Queue};
  Configuration->Pools_ = {{"pool", true, false}, {"spare", true, true}};
  for (std::uint32_t Number = 0; Number < Jobs; ++Number) {
    SubmittedJob Job;
    Job.Queue_ = "queue";
    Job.Pool_ = "pool";
    Job.Spec_ = specOf(Number);
    Job.AcceptedAt_ = milliseconds(Number * 10);
    std::string Digits = std::to_string(Number * 7919 % 1000003);
    std::string Id = std::string(16 - Digits.size(), '0') + Digits;
    StoreKey Row = jobrows::keyOf("queue", Id, JobRowKind::Submission);
    Parts_->Store_.Rows_[Row] = {Row, jobrowcodec::encode(Job),
                                 ++Parts_->Store_.Version_, false};
  }
  for (std::uint32_t Number = 0; Number < Workers; ++Number) {
    WorkerEntry Entry;
    Entry.Id_ = "worker-" + std::to_string(Number);
    Entry.Pool_ = "pool";
    Entry.Machine_ = "machine-" + std::to_string(Number);
    Entry.Rack_ = "rack-" + std::to_string(Number % Racks);
    Entry.Address_ = {"10.0.0.1", 80};
    Entry.Born_ = milliseconds(5);
    Entry.Capacity_ = WorkerCapacity;
    Parts_->Entries_.push_back(Entry);
  }
  Parts_->Owner_ =
      PoolOwner::Builder()
          .settings(Parts_->Settings_)
          .clock(Parts_->Clock_)
          .store(Parts_->Store_)
          .workers(Parts_->Workers_)
          .machines(Parts_->Machines_)
          .advisor(Parts_->Advisor_)
          .machineOrders(Parts_->Ledger_)
          .demands(Parts_->Demands_)
          .logger(Parts_->Logger_)
          .build({"pool", 7, 0, Parts_->Clock_.now() + std::chrono::hours(1)});
  Parts_->Owner_->onConfiguration(Configuration);
}

ModelPool::~ModelPool() = default;

void ModelPool::load() {
  Parts_->Owner_->onWorkers(Parts_->Entries_);
  for (int Round = 0; Round < 5; ++Round)
    Parts_->Owner_->tick();
}

void ModelPool::fill() {
  for (std::size_t Count = Parts_->Workers_.Holds_.size(); Count > 0; --Count)
    Parts_->answerHold(/*HasEnd=*/false);
  Parts_->tickOwner();
  while (!Parts_->Workers_.Starts_.empty()) {
    Parts_->answerStart();
    // The next starts may have waited for these answers.
    if (Parts_->Workers_.Starts_.empty())
      Parts_->tickOwner();
  }
}

void ModelPool::play(std::uint32_t Events, std::uint32_t Batch) {
  for (std::uint32_t Event = 0; Event < Events; ++Event) {
    bool HasHold = !Parts_->Workers_.Holds_.empty();
    if (!Parts_->Workers_.Starts_.empty() && (Event % 2 == 0 || !HasHold))
      Parts_->answerStart();
    else if (HasHold)
      Parts_->answerHold(/*HasEnd=*/true);
    Parts_->Passed_ += EventInterval;
    if (Event % Batch == 0)
      Parts_->tickOwner();
  }
}

void ModelPool::Parts::answerStart() {
  RecordingWorkers::Start Start = Workers_.takeStart();
  Model_[Start.Target_.Id_].Running_[Start.Order_.Task_] = Start.Order_.Run_;
  ++Starts_;
  constexpr std::uint64_t Factor = 1099511628211ULL;
  Digest_ =
      Digest_ * Factor +
      std::hash<std::string>()(Start.Target_.Id_ + Start.Order_.Task_.text());
  Start.Done_({OrderOutcome::Accepted, WorkerClock(1000)});
}

void ModelPool::Parts::answerHold(bool HasEnd) {
  RecordingWorkers::Hold Hold = Workers_.takeHold();
  ModelWorker &Worker = Model_[Hold.Target_.Id_];
  std::erase_if(Worker.Ended_, [&](const ListedEnd &End) {
    return End.Sequence_ <= Hold.Order_.AcknowledgedEnd_;
  });
  if (HasEnd && !Worker.Running_.empty()) {
    auto First = Worker.Running_.begin();
    ListedEnd End;
    End.Sequence_ = ++Worker.LastSequence_;
    End.Task_ = First->first;
    End.Run_ = First->second;
    End.Kind_ = EndKind::Done;
    Worker.Ended_.push_back(End);
    Worker.Running_.erase(First);
    ++Ends_;
  }
  HoldAnswer Answer;
  Answer.Outcome_ = OrderOutcome::Accepted;
  Answer.Clock_ = WorkerClock(1000);
  Answer.Born_ = milliseconds(5);
  Answer.Ended_.assign(Worker.Ended_.begin(), Worker.Ended_.end());
  for (const auto &[Task, Run] : Worker.Running_) {
    ListedRun Listed;
    Listed.Task_ = Task;
    Listed.Run_ = Run;
    Listed.Percent_ = 100;
    Answer.Running_.push_back(Listed);
  }
  Hold.Done_(Answer);
}

std::uint64_t ModelPool::starts() const { return Parts_->Starts_; }

std::uint64_t ModelPool::ends() const { return Parts_->Ends_; }

std::uint64_t ModelPool::jobsLeft() const {
  return Parts_->Owner_->view().Jobs_;
}

std::uint64_t ModelPool::startsDigest() const { return Parts_->Digest_; }

} // namespace dragonflylock
