#ifndef DRAGONFLYLOCK_SCHEDULING_TESTS_MOCKS_OWNERTEST_H
#define DRAGONFLYLOCK_SCHEDULING_TESTS_MOCKS_OWNERTEST_H

#include "scheduling/demandtracker.h"
#include "scheduling/jobrowcodec.h"
#include "scheduling/jobrows.h"
#include "scheduling/machineordertracker.h"
#include "scheduling/poolowner.h"
#include "scheduling/schedulingsettings.h"
#include "scheduling/tests/mocks/fakefleet.h"

#include <gtest/gtest.h>

namespace dragonflylock {

/// Fixture with an owner of the pool "pool", whose jobs arrive through the
/// queue "queue".
class OwnerTest : public testing::Test {
protected:
  static constexpr const char *JobId = "00000000000000aa";
  static constexpr FencingToken Token = 7;

  OwnerTest() : MachineOrders_("node-1", Clock_) {
    Queue_.Name_ = "queue";
    Queue_.Pool_ = "pool";
  }

  /// Stores a submitted job. Call it before the owner reads the jobs.
  void storeJob(const JobSpec &Spec, const std::string &Id = JobId,
                std::chrono::milliseconds AcceptedAt = {}) {
    SubmittedJob Job;
    Job.Queue_ = "queue";
    Job.Pool_ = "pool";
    Job.Policy_ = Queue_;
    Job.Spec_ = Spec;
    Job.AcceptedAt_ = AcceptedAt;
    StoreKey Row = jobrows::keyOf("queue", Id, JobRowKind::Submission);
    Store_.Rows_[Row] = {Row, jobrowcodec::encode(Job), ++Store_.Version_,
                         false};
  }

  static WorkerEntry workerOf(const std::string &Id, Resources Capacity) {
    WorkerEntry Entry;
    Entry.Id_ = Id;
    Entry.Pool_ = "pool";
    Entry.Address_ = {"10.0.0.1", 80};
    Entry.Born_ = std::chrono::milliseconds(5);
    Entry.Capacity_ = Capacity;
    return Entry;
  }

  /// \returns an accepted answer to a hold order, from a worker made by
  /// workerOf(), that lists the given runs and run ends.
  static HoldAnswer acceptedAnswer(const std::vector<ListedRun> &Running,
                                   const std::vector<ListedEnd> &Ended = {}) {
    HoldAnswer Answer;
    Answer.Outcome_ = OrderOutcome::Accepted;
    Answer.Clock_ = WorkerClock(1000);
    Answer.Born_ = std::chrono::milliseconds(5);
    Answer.Running_ = Running;
    Answer.Ended_ = Ended;
    return Answer;
  }

  /// \param RunNumberRange the owner's range of run numbers; an owner with a
  ///   higher one than 0 has predecessors.
  void buildOwner(std::uint64_t RunNumberRange) {
    auto Configuration = std::make_shared<SchedulingConfiguration>();
    Configuration->Queues_ = {Queue_};
    Configuration->Pools_ = {{"pool", true, false}};
    Owner_ = PoolOwner::Builder()
                 .settings(Settings_)
                 .clock(Clock_)
                 .store(Store_)
                 .workers(Workers_)
                 .machines(Machines_)
                 .advisor(Advisor_)
                 .machineOrders(MachineOrders_)
                 .demands(Demands_)
                 .logger(Logger_)
                 .build({"pool", Token, RunNumberRange,
                         Clock_.now() + std::chrono::hours(1)});
    Owner_->onConfiguration(Configuration);
  }

  /// Builds the owner and ticks it until it has read the roster and then the
  /// jobs.
  void takeOwnership(std::uint64_t RunNumberRange,
                     const std::vector<WorkerEntry> &Workers) {
    buildOwner(RunNumberRange);
    Owner_->onWorkers(Workers);
    for (int Round = 0; Round < 5; ++Round)
      Owner_->tick();
  }

  /// Renews the lease, as an owner does several times a second. The owner then
  /// has further tokens for its orders.
  void renewLease(std::uint64_t RunNumberRange = 0) {
    Owner_->extendLease(Clock_.now() + std::chrono::hours(1), Token + 10,
                        RunNumberRange);
  }

  /// Ticks twice, so that changes made by one component of the owner reach the
  /// others.
  void tickTwice() {
    Owner_->tick();
    Owner_->tick();
  }

  ManualClock Clock_;
  SilentLogger Logger_;
  InstantStore Store_;
  RecordingWorkers Workers_;
  AcceptingMachines Machines_;
  RecordingAdvisor Advisor_;
  MachineOrderTracker MachineOrders_;
  DemandTracker Demands_;
  SchedulingSettings Settings_;
  QueueSetting Queue_;
  std::unique_ptr<PoolOwner> Owner_;
};

} // namespace dragonflylock

#endif
