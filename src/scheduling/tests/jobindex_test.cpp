#include "scheduling/internal/poolstate.h"
#include "scheduling/tests/mocks/ownertest.h"

#include <algorithm>
#include <random>
#include <tuple>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Changes jobs at random and compares the index with a search of all jobs.
/// Guards against an index that misses a change of a job, of the time or of the
/// configuration, and so leaves out a job or returns it in the wrong order.
class JobIndexTest : public testing::TestWithParam<std::uint32_t> {
protected:
  JobIndexTest()
      : Random_(GetParam()),
        Pool_("pool", Settings_, Clock_, Store_, Workers_, Logger_) {
    configure();
  }

  std::uint32_t randomBelow(std::uint32_t Limit) {
    return std::uniform_int_distribution<std::uint32_t>(0, Limit - 1)(Random_);
  }

  void configure() {
    auto Configuration = std::make_shared<SchedulingConfiguration>();
    for (const char *Name : {"a", "b"}) {
      QueueSetting Queue;
      Queue.Name_ = Name;
      Queue.Priority_ = randomBelow(2);
      Queue.TargetLatency_ = milliseconds(randomBelow(2000));
      Queue.NeedsAdvice_ = randomBelow(4) == 0;
      Configuration->Queues_.push_back(Queue);
    }
    Pool_.Configuration_ = Configuration;
  }

  void addJob() {
    SubmittedJob Job;
    Job.Queue_ = randomBelow(2) == 0 ? "a" : "b";
    Job.AcceptedAt_ = Pool_.wallTime() - milliseconds(randomBelow(500));
    for (std::uint32_t Number = 0; Number < 3; ++Number) {
      StepSpec Step;
      Step.TaskCount_ = 1 + randomBelow(3);
      Step.PerTask_ = {1000 + 1000 * randomBelow(3), 1000, 0};
      Step.Estimate_ = milliseconds(100 * randomBelow(10));
      Step.IsGang_ = randomBelow(8) == 0;
      Step.IsLongRunning_ = randomBelow(8) == 0;
      if (Number > 0 && randomBelow(2) == 0)
        Step.After_ = {Number - 1};
      Job.Spec_.Steps_.push_back(Step);
    }
    if (randomBelow(4) == 0) {
      Job.Spec_.OccurrenceCount_ = 3;
      Job.Spec_.FirstDue_ = Pool_.wallTime() + milliseconds(randomBelow(400));
      Job.Spec_.Interval_ = milliseconds(300);
    }
    std::string Id = "job-" + std::to_string(NextId_++ * 7919 % 1009);
    Pool_.addJob(std::make_unique<ActiveJob>(Id, std::move(Job)));
  }

  void changeTask(ActiveJob &Job) {
    std::vector<TaskName> Names;
    Job.forEachTask(
        [&](const TaskName &Name, const TaskRun &) { Names.push_back(Name); });
    const TaskName &Name =
        Names[randomBelow(static_cast<std::uint32_t>(Names.size()))];
    TaskRun &Run = Job.mutableRun(Name);
    switch (randomBelow(5)) {
    case 0:
      Run.Phase_ = TaskPhase::Starting;
      Run.Worker_ = "w/1";
      return;
    case 1:
      Run.Phase_ = TaskPhase::Waiting;
      Run.Worker_.clear();
      Run.NotBefore_ = Clock_.now() + milliseconds(randomBelow(200));
      return;
    case 2:
      Run.Phase_ = TaskPhase::Done;
      Run.Worker_.clear();
      Job.mutableProgress().task(Name).IsDone_ = true;
      Job.markDirty();
      return;
    case 3:
      Run.MayHaveInheritedRun_ = randomBelow(2) == 0;
      return;
    default:
      Job.setStoredChangeCount(Job.changeCount());
    }
  }

  void changeRandomJob() {
    if (Pool_.Jobs_.empty() || randomBelow(6) == 0) {
      addJob();
      return;
    }
    auto Each =
        std::next(Pool_.Jobs_.begin(),
                  randomBelow(static_cast<std::uint32_t>(Pool_.Jobs_.size())));
    std::uint32_t Kind = randomBelow(30);
    if (Kind == 0)
      Each->second->cancel();
    else if (Kind == 1)
      Pool_.removeJob(*Each->second);
    else if (Kind == 2)
      configure();
    else
      changeTask(*Each->second);
  }

  /// \returns the jobs with startable tasks in the order of their urgency,
  /// found by a search of all jobs.
  std::vector<std::string> expectedScan() {
    using Rank =
        std::tuple<bool, std::uint32_t, bool, std::int64_t, std::string>;
    std::vector<Rank> Ranks;
    for (const auto &[Id, Job] : Pool_.Jobs_) {
      if (Job->startableTasks(Clock_.now(), Pool_.wallTime()).empty())
        continue;
      const QueuePolicy &Queue = Pool_.policyOf(*Job);
      auto Objective = std::chrono::duration_cast<milliseconds>(
                           Queue.Stretch_ * Job->criticalPathTime(false)) +
                       Queue.TargetLatency_;
      std::int64_t Accepted = Job->submission().AcceptedAt_.count();
      Ranks.emplace_back(!Job->isLongRunning(), Queue.Priority_,
                         Pool_.wallTime() + Job->criticalPathTime(true) >
                             Job->submission().AcceptedAt_ + Objective,
                         Accepted + Job->remainingWork() / 8, Id);
    }
    std::sort(Ranks.begin(), Ranks.end());
    std::vector<std::string> Ids;
    Ids.reserve(Ranks.size());
    for (const Rank &Each : Ranks)
      Ids.push_back(std::get<std::string>(Each));
    return Ids;
  }

  std::vector<std::string> scan() {
    std::vector<std::string> Ids;
    Pool_.Index_.beginScan([](const WorkerRequirements &) { return true; });
    while (const ActiveJob *Job = Pool_.Index_.next())
      Ids.push_back(Job->id());
    return Ids;
  }

  std::vector<std::string> expectedDirty() const {
    std::vector<std::string> Ids;
    for (const auto &[Id, Job] : Pool_.Jobs_)
      if (Job->isDirty())
        Ids.push_back(Id);
    return Ids;
  }

  std::vector<std::string> dirty() const {
    std::vector<std::string> Ids;
    for (const auto &[Queue, Jobs] : Pool_.Index_.dirty())
      for (const ActiveJob *Job : Jobs)
        Ids.push_back(Job->id());
    std::sort(Ids.begin(), Ids.end());
    return Ids;
  }

  std::mt19937 Random_;
  std::uint32_t NextId_ = 0;
  ManualClock Clock_;
  SilentLogger Logger_;
  InstantStore Store_;
  RecordingWorkers Workers_;
  SchedulingSettings Settings_;
  PoolState Pool_;
};

TEST_P(JobIndexTest, ScanMatchesAnExhaustiveSearch) {
  for (int Round = 0; Round < 600; ++Round) {
    for (std::uint32_t Count = randomBelow(4); Count > 0; --Count)
      changeRandomJob();
    Clock_.advance(milliseconds(randomBelow(30)));
    ASSERT_EQ(scan(), expectedScan()) << "round " << Round;
    ASSERT_EQ(dirty(), expectedDirty()) << "round " << Round;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, JobIndexTest, testing::Range(1U, 11U));

} // namespace
} // namespace dragonflylock
