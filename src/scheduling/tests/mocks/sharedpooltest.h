#ifndef DRAGONFLYLOCK_SCHEDULING_TESTS_MOCKS_SHAREDPOOLTEST_H
#define DRAGONFLYLOCK_SCHEDULING_TESTS_MOCKS_SHAREDPOOLTEST_H

#include "customers/icustomerlimits.h"
#include "scheduling/internal/advicecache.h"
#include "scheduling/internal/dispatcher.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/internal/runtracker.h"
#include "scheduling/tests/mocks/fakefleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dragonflylock {

/// Limits on the processor of customers, in thousandths of a core.
class CpuLimits : public ICustomerLimits {
public:
  bool mayStart(const std::string &Customer, const Resources &Running,
                const Resources &Needed) override {
    ++Calls_;
    auto Found = Limits_.find(Customer);
    return Found == Limits_.end() ||
           Running.CpuMillis_ + Needed.CpuMillis_ <= Found->second;
  }

  /// By customer; the others are not limited.
  std::map<std::string, std::int64_t> Limits_;
  std::uint64_t Calls_ = 0;
};

/// Fixture that plays the load of customers on the workers of one pool in
/// virtual time. Workers accept each start and run each task for its estimate.
class SharedPoolTest : public testing::Test {
protected:
  static constexpr std::int64_t Core = 1000;

  SharedPoolTest()
      : Pool_("pool", Settings_, Clock_, Store_, Workers_, Logger_),
        Runs_(Pool_), Advice_(std::make_shared<AdviceCache>(Pool_, Advisor_)),
        Dispatcher_(std::make_shared<Dispatcher>(Pool_, Runs_, *Advice_)) {
    Pool_.LeaseEnd_ = Clock_.now() + std::chrono::hours(10);
    Pool_.Token_ = 1;
    // Jobs of this queue are never late, so that lateness does not hide shares.
    addQueue("queue", 1, std::chrono::hours(1));
  }

  void addQueue(const std::string &Name, std::uint32_t Priority,
                std::chrono::milliseconds TargetLatency = {}) {
    QueueSetting Queue;
    Queue.Name_ = Name;
    Queue.Pool_ = "pool";
    Queue.Priority_ = Priority;
    Queue.MaxFailedRuns_ = 3;
    Queue.TargetLatency_ = TargetLatency;
    Configuration_.Queues_.push_back(Queue);
    configure();
  }

  void addCustomer(const std::string &Name, std::uint64_t Weight) {
    Customer Added;
    Added.Name_ = Name;
    Added.Weight_ = Weight;
    Configuration_.Customers_.push_back(Added);
    configure();
  }

  void configure() {
    ++Configuration_.Version_;
    Pool_.Configuration_ =
        std::make_shared<SchedulingConfiguration>(Configuration_);
  }

  void addWorker(const std::string &Id, std::int64_t CpuMillis) {
    WorkerEntry Entry;
    Entry.Id_ = Id;
    Entry.Pool_ = "pool";
    Entry.Capacity_ = {CpuMillis, CpuMillis * 10, 0};
    WorkerSession &Session = Pool_.findOrCreateSession(Entry);
    Session.IsFenced_ = true;
    Session.ConfirmedToken_ = Session.Token_;
    Session.IsInRoster_ = true;
    Session.updateClock(WorkerClock(1000), Clock_.now());
  }

  static StepSpec stepOf(std::uint32_t Tasks,
                         std::chrono::milliseconds Estimate,
                         std::int64_t CpuMillis = Core) {
    StepSpec Step;
    Step.TaskCount_ = Tasks;
    Step.PerTask_ = {CpuMillis, 1, 0};
    Step.Estimate_ = Estimate;
    return Step;
  }

  static StepSpec gangOf(std::uint32_t Members,
                         std::chrono::milliseconds Estimate,
                         std::int64_t CpuMillis = Core) {
    StepSpec Step = stepOf(Members, Estimate, CpuMillis);
    Step.IsGang_ = true;
    return Step;
  }

  /// \returns the id of the job, which rises with each job.
  std::string submit(const std::string &Customer, const StepSpec &Step,
                     const std::string &Queue = "queue") {
    SubmittedJob Job;
    Job.Queue_ = Queue;
    Job.Pool_ = "pool";
    Job.Spec_.Customer_ = Customer;
    Job.Spec_.Steps_ = {Step};
    Job.AcceptedAt_ = Pool_.wallTime();
    std::string Id = std::to_string(NextJob_++);
    Submitted_[Id] = {Customer, Clock_.now()};
    Pool_.addJob(std::make_unique<ActiveJob>(Id, std::move(Job)));
    Pool_.NeedsDispatch_ = true;
    return Id;
  }

  /// Starts what fits, with all workers accepting.
  void dispatch() {
    Dispatcher_->dispatch();
    NextDispatch_ = Clock_.now() + std::chrono::milliseconds(100);
    while (!Workers_.Starts_.empty()) {
      RecordingWorkers::Start Next = Workers_.takeStart();
      const TaskName Task = Next.Order_.Task_;
      onStart(Task);
      Ends_.emplace(Clock_.now() + Pool_.job(Task.Job_)->step(Task).Estimate_,
                    std::make_pair(Task, Next.Order_.Run_));
      Next.Done_({OrderOutcome::Accepted, WorkerClock(1000)});
    }
  }

  /// Ends the runs that are due, and dispatches like the owner of a pool.
  void tick() {
    while (!Ends_.empty() && Ends_.begin()->first <= Clock_.now()) {
      endRun(Ends_.begin()->second.first, Ends_.begin()->second.second);
      Ends_.erase(Ends_.begin());
    }
    removeEndedJobs();
    if (Pool_.NeedsDispatch_ || Clock_.now() >= NextDispatch_)
      dispatch();
  }

  /// Plays \p Length in steps of 10 ms, with \p Arrivals before each.
  template <typename Visitor>
  void play(std::chrono::milliseconds Length, Visitor &&Arrivals) {
    const TimePoint End = Clock_.now() + Length;
    while (Clock_.now() < End) {
      Arrivals();
      tick();
      Clock_.advance(std::chrono::milliseconds(10));
    }
  }
  void play(std::chrono::milliseconds Length) {
    play(Length, [] {});
  }

  bool hasStarted(const std::string &Job) const {
    return StartedJobs_.contains(Job);
  }
  std::int64_t runningCpu(const std::string &Customer) const {
    return Pool_.Usage_.of(Customer).CpuMillis_;
  }
  /// \returns the mean wait of the customer's jobs for their first start,
  ///   counting those that still wait.
  std::chrono::milliseconds meanWait(const std::string &Customer) const {
    std::chrono::milliseconds Sum{0};
    std::int64_t Count = 0;
    for (const auto &[Id, Job] : Submitted_) {
      if (Job.first != Customer)
        continue;
      auto Started = StartedJobs_.find(Id);
      const TimePoint Until =
          Started == StartedJobs_.end() ? Clock_.now() : Started->second;
      Sum += std::chrono::duration_cast<std::chrono::milliseconds>(Until -
                                                                   Job.second);
      ++Count;
    }
    return Count == 0 ? Sum : Sum / Count;
  }

  ManualClock Clock_;
  EventRecorder Logger_;
  InstantStore Store_;
  RecordingWorkers Workers_;
  RecordingAdvisor Advisor_;
  SchedulingSettings Settings_;
  CpuLimits Limits_;
  SchedulingConfiguration Configuration_;
  PoolState Pool_;
  RunTracker Runs_;
  std::shared_ptr<AdviceCache> Advice_;
  std::shared_ptr<Dispatcher> Dispatcher_;
  /// Number of starts by customer.
  std::map<std::string, std::uint64_t> Starts_;
  /// Time of the first start, by job.
  std::map<std::string, TimePoint> StartedJobs_;
  std::set<std::string> EndedJobs_;

private:
  void onStart(const TaskName &Task) {
    ++Starts_[Pool_.job(Task.Job_)->submission().Spec_.Customer_];
    StartedJobs_.emplace(Task.Job_, Clock_.now());
  }

  void endRun(const TaskName &Task, RunNumber Run) {
    for (auto &[Lifetime, Session] : Pool_.Sessions_) {
      if (!Session->runs().contains(Task))
        continue;
      Runs_.onRunEnded(
          *Session, {++LastSequence_[Lifetime], Task, Run, EndKind::Done, ""});
      Touched_.insert(Task.Job_);
      return;
    }
  }

  void removeEndedJobs() {
    for (const std::string &Id : std::exchange(Touched_, {})) {
      ActiveJob *Job = Pool_.job(Id);
      if (Job == nullptr)
        continue;
      Job->setStoredChangeCount(Job->changeCount());
      if (!Job->isOver() || Job->runCount() > 0)
        continue;
      EndedJobs_.insert(Id);
      Pool_.PendingAcknowledgements_.erase(Id);
      Pool_.removeJob(*Job);
    }
  }

  std::uint64_t NextJob_ = 1000000;
  /// Customer and time of the submission, by job.
  std::map<std::string, std::pair<std::string, TimePoint>> Submitted_;
  std::multimap<TimePoint, std::pair<TaskName, RunNumber>> Ends_;
  std::map<std::string, std::uint64_t> LastSequence_;
  std::set<std::string> Touched_;
  TimePoint NextDispatch_;
};

} // namespace dragonflylock

#endif
