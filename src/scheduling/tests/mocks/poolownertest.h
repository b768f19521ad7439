#ifndef DRAGONFLYLOCK_SCHEDULING_TESTS_MOCKS_POOLOWNERTEST_H
#define DRAGONFLYLOCK_SCHEDULING_TESTS_MOCKS_POOLOWNERTEST_H

#include "scheduling/controlrows.h"
#include "scheduling/schedulernode.h"
#include "scheduling/tests/mocks/ownertest.h"
#include "scheduling/tests/mocks/testnode.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace dragonflylock {

/// Fixture for jobs of one step and workers that have a machine each.
class PoolOwnerTest : public OwnerTest {
protected:
  PoolOwnerTest() { Queue_.MaxFailedRuns_ = 3; }

  /// Stores the roster of a previous owner, with the queue "queue".
  void storeRoster(const std::vector<WorkerEntry> &Workers) {
    RosterRow Roster;
    Roster.Workers_ = Workers;
    Roster.Queues_ = {"queue"};
    StoreKey Row = controlrows::roster("pool");
    Store_.Rows_[Row] = {Row, controlrows::encode(Roster), ++Store_.Version_,
                         false};
  }

  static JobSpec jobOf(std::uint32_t Tasks) {
    JobSpec Spec;
    Spec.Payload_ = "payload";
    StepSpec Step;
    Step.TaskCount_ = Tasks;
    Step.PerTask_ = {1000, 1000, 0};
    Step.Estimate_ = std::chrono::milliseconds(500);
    Spec.Steps_ = {Step};
    return Spec;
  }

  /// A job with two long-running tasks, of which one may be unavailable.
  static JobSpec servingJob() {
    JobSpec Spec;
    StepSpec Step;
    Step.TaskCount_ = 2;
    Step.PerTask_ = {1000, 1000, 0};
    Step.IsLongRunning_ = true;
    Step.DisruptionBudget_ = 1;
    Spec.Steps_ = {Step};
    return Spec;
  }

  static WorkerEntry worker(const std::string &Id) {
    WorkerEntry Entry = workerOf(Id, {16000, 32000, 0});
    Entry.Machine_ = "machine-of-" + Id;
    return Entry;
  }

  /// Takes ownership with \p Count workers, all of which have seen the owner's
  /// token.
  /// \returns the workers.
  std::vector<WorkerEntry> takeOwnershipOfFleet(std::size_t Count) {
    std::vector<WorkerEntry> Fleet;
    Fleet.reserve(Count);
    for (std::size_t Number = 0; Number < Count; ++Number)
      Fleet.push_back(worker("w" + std::to_string(Number)));
    takeOwnership(0, Fleet);
    while (!Workers_.Holds_.empty())
      Workers_.takeHold().Done_(acceptedAnswer({}));
    return Fleet;
  }

  /// \returns a node with the pool's configuration that knows \p Workers.
  std::unique_ptr<SchedulerNode>
  joinNode(const std::string &Name, const std::string &Process,
           const std::vector<WorkerEntry> &Workers) {
    SchedulingSettings Settings;
    Settings.Node_ = Name;
    auto Node =
        nodeBuilder(Clock_, Store_, Workers_, Machines_, Advisor_, Logger_)
            .settings(Settings)
            .process(Process)
            .build();
    SchedulingConfiguration Configuration;
    Configuration.Version_ = 1;
    Configuration.Queues_ = {Queue_};
    Configuration.Pools_ = {{"pool", true, false}};
    Node->onConfiguration(Configuration);
    Node->onWorkerSnapshot(Workers);
    return Node;
  }

  void answerHold(const HoldAnswer &Answer) {
    ASSERT_FALSE(Workers_.Holds_.empty());
    Workers_.takeHold().Done_(Answer);
    Owner_->tick();
  }
};

} // namespace dragonflylock

#endif
