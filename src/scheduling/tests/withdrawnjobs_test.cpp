#include "scheduling/controlrows.h"
#include "scheduling/iadmission.h"
#include "scheduling/jobrequesthandler.h"
#include "scheduling/jobrowcodec.h"
#include "scheduling/jobrows.h"
#include "scheduling/poolview.h"
#include "scheduling/queuedirectory.h"
#include "scheduling/tests/mocks/poolownertest.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// A store that can fail all writes while it answers reads, and at which a test
/// can act just before a write.
class ObservedStore : public InstantStore {
public:
  void transact(StoreTransaction Wanted, TransactionCallback Done) override {
    if (auto Act = std::exchange(BeforeWrite_, nullptr))
      Act();
    if (WriteOutcome_ != StoreOutcome::Done) {
      Done({WriteOutcome_, 0, {}});
      return;
    }
    InstantStore::transact(std::move(Wanted), std::move(Done));
  }

  StoreOutcome WriteOutcome_ = StoreOutcome::Done;
  std::function<void()> BeforeWrite_;
};

/// A caller whose requests about one job reach two nodes.
class WithdrawnJobsTest : public testing::Test {
protected:
  WithdrawnJobsTest() {
    Queue_.Name_ = "queue";
    Queue_.Pool_ = "pool";
    Queues_.add("pool", "queue");
    First_ = newNode();
    Second_ = newNode();
  }

  std::shared_ptr<JobRequestHandler> newNode() {
    return std::make_shared<JobRequestHandler>(
        Store_, Clock_, Logger_, Queues_,
        [](const std::string &) { return std::nullopt; });
  }

  JobRequestHandler::ResponseCallback keepResponse() {
    Response_.reset();
    return [this](const JobResponse &Response) { Response_ = Response; };
  }

  void submit(JobRequestHandler &Node) {
    JobSpec Spec;
    Spec.Steps_ = {StepSpec()};
    Node.submit(Queue_, Job_, Spec, milliseconds(1000), keepResponse());
  }

  void cancel(JobRequestHandler &Node) {
    Node.cancel(Queue_, Job_, milliseconds(1000), keepResponse());
  }

  void state(JobRequestHandler &Node) {
    Node.state(Queue_.Name_, Job_, milliseconds(1000), keepResponse());
  }

  void run(JobRequestHandler &Node, milliseconds Duration) {
    for (const TimePoint End = Clock_.now() + Duration; Clock_.now() < End;) {
      Clock_.advance(milliseconds(50));
      Node.tick();
    }
  }

  /// Submits the job at the first node, which ends before its write is applied.
  void submitWithoutResponse() {
    Store_.LosesNextWriteOf_ = Submission_;
    submit(*First_);
    ASSERT_EQ(Store_.LateWrites_.size(), 1U);
    First_.reset();
  }

  std::optional<JobRequestOutcome> outcome() const {
    return Response_ ? std::optional(Response_->Outcome_) : std::nullopt;
  }

  bool isJobStored() {
    auto Found = Store_.Rows_.find(Submission_);
    return Found != Store_.Rows_.end() &&
           jobrowcodec::decode(Found->second.Value_);
  }

  ManualClock Clock_;
  EventRecorder Logger_;
  ObservedStore Store_;
  QueueDirectory Queues_;
  QueueSetting Queue_;
  const std::string Job_ = "00000000000000aa";
  const StoreKey Submission_ =
      jobrows::keyOf("queue", Job_, JobRowKind::Submission);
  const StoreKey Cancellation_ =
      jobrows::keyOf("queue", Job_, JobRowKind::Cancellation);
  std::shared_ptr<JobRequestHandler> First_;
  std::shared_ptr<JobRequestHandler> Second_;
  std::optional<JobResponse> Response_;
};

// Guards against jobs that run after their cancellation was acknowledged, since
// the write of their submission was applied later.
TEST_F(WithdrawnJobsTest, LateSubmissionOfACancelledJobTakesNoEffect) {
  submitWithoutResponse();
  cancel(*Second_);
  ASSERT_EQ(outcome(), JobRequestOutcome::NoSuchJob);
  Store_.applyLateWrites();
  EXPECT_FALSE(isJobStored());
  state(*Second_);
  EXPECT_EQ(outcome(), JobRequestOutcome::NoSuchJob);
}

// Guards against an acknowledgement before it is certain that the job can't
// come any more.
TEST_F(WithdrawnJobsTest, CancellationIsNotAcknowledgedWhileTheStoreIsDown) {
  for (StoreOutcome Outcome : {StoreOutcome::NotDone, StoreOutcome::Unknown}) {
    Store_.WriteOutcome_ = Outcome;
    cancel(*Second_);
    run(*Second_, milliseconds(1500));
    EXPECT_EQ(outcome(), Outcome == StoreOutcome::NotDone
                             ? JobRequestOutcome::Refused
                             : JobRequestOutcome::Unknown);
  }
}

TEST_F(WithdrawnJobsTest, CancellationIsAcknowledgedOnceTheStoreWorksAgain) {
  Store_.WriteOutcome_ = StoreOutcome::NotDone;
  cancel(*Second_);
  run(*Second_, milliseconds(500));
  Store_.WriteOutcome_ = StoreOutcome::Done;
  run(*Second_, milliseconds(500));
  EXPECT_EQ(outcome(), JobRequestOutcome::NoSuchJob);
}

// Guards against a job that is withdrawn though its submission was
// acknowledged.
TEST_F(WithdrawnJobsTest, SubmissionThatComesFirstIsCancelled) {
  submitWithoutResponse();
  Store_.BeforeWrite_ = [this] { Store_.applyLateWrites(); };
  cancel(*Second_);
  run(*Second_, milliseconds(500));
  ASSERT_TRUE(Response_);
  EXPECT_EQ(Response_->Outcome_, JobRequestOutcome::Accepted);
  EXPECT_EQ(Response_->State_, JobPhase::Cancelled);
  EXPECT_TRUE(isJobStored());
  EXPECT_TRUE(Store_.Rows_.contains(Cancellation_));
}

TEST_F(WithdrawnJobsTest, WithdrawalWithoutAResponseIsRepeated) {
  submitWithoutResponse();
  StoreTransaction Late = Store_.LateWrites_.front();
  Store_.LateWrites_.clear();
  Store_.LosesNextWriteOf_ = Submission_;
  cancel(*Second_);
  EXPECT_EQ(outcome(), std::nullopt);
  run(*Second_, milliseconds(500));
  EXPECT_EQ(outcome(), JobRequestOutcome::NoSuchJob);
  Store_.applyLateWrites();
  Store_.apply(Late);
  EXPECT_FALSE(isJobStored());
}

// Guards against a late withdrawal that replaces a job accepted since.
TEST_F(WithdrawnJobsTest, LateWithdrawalDoesNotReplaceAJob) {
  Store_.LosesNextWriteOf_ = Submission_;
  cancel(*First_);
  First_.reset();
  submit(*Second_);
  ASSERT_EQ(outcome(), JobRequestOutcome::Accepted);
  Store_.applyLateWrites();
  EXPECT_TRUE(isJobStored());
  state(*Second_);
  ASSERT_TRUE(Response_);
  EXPECT_EQ(Response_->State_, JobPhase::Queued);
}

// Guards against callers that are told "accepted" of a job that never runs.
TEST_F(WithdrawnJobsTest, RepeatedSubmissionOfAWithdrawnJobIsRefused) {
  cancel(*First_);
  submit(*Second_);
  ASSERT_TRUE(Response_);
  EXPECT_EQ(Response_->Outcome_, JobRequestOutcome::Refused);
  EXPECT_EQ(Response_->State_, JobPhase::Cancelled);
  EXPECT_GE(Response_->RetryAfter_, milliseconds(60000));
  EXPECT_FALSE(isJobStored());
}

// Guards against the same after an attempt whose outcome is not known: the node
// itself repeats the write and finds the row of the withdrawal.
TEST_F(WithdrawnJobsTest, SubmissionUnderWayIsRefusedAfterTheWithdrawal) {
  Store_.LosesNextWriteOf_ = Submission_;
  submit(*First_);
  cancel(*Second_);
  ASSERT_EQ(outcome(), JobRequestOutcome::NoSuchJob);
  auto Withdrawn = Response_;
  Response_.reset();
  run(*First_, milliseconds(500));
  ASSERT_TRUE(Response_);
  EXPECT_EQ(Response_->Outcome_, JobRequestOutcome::Refused);
  Store_.applyLateWrites();
  EXPECT_FALSE(isJobStored());
}

TEST_F(WithdrawnJobsTest, RepeatedCancellationWritesNothing) {
  cancel(*First_);
  const StoreVersion Before = Store_.Version_;
  cancel(*Second_);
  EXPECT_EQ(outcome(), JobRequestOutcome::NoSuchJob);
  EXPECT_EQ(Store_.Version_, Before);
}

// Guards against a pool whose owner never learns of the row, so that nobody
// removes it.
TEST_F(WithdrawnJobsTest, QueueIsRecordedBeforeAJobIsWithdrawn) {
  Queue_.Name_ = "new-queue";
  cancel(*First_);
  EXPECT_EQ(outcome(), JobRequestOutcome::NoSuchJob);
  EXPECT_TRUE(Store_.Rows_.contains(controlrows::queue("pool", "new-queue")));
  EXPECT_TRUE(Store_.Rows_.contains(
      jobrows::keyOf("new-queue", Job_, JobRowKind::Submission)));
}

// Guards against a store that a caller fills with the ids of jobs that never
// existed.
TEST_F(WithdrawnJobsTest, NumberOfWithdrawnJobsIsLimited) {
  constexpr int Attempts = 5000;
  int Withdrawn = 0;
  for (int Number = 0; Number < Attempts; ++Number)
    First_->cancel(Queue_, std::to_string(Number), milliseconds(1000),
                   [&](const JobResponse &Response) {
                     if (Response.Outcome_ == JobRequestOutcome::NoSuchJob)
                       ++Withdrawn;
                     else
                       EXPECT_EQ(Response.Outcome_, JobRequestOutcome::Refused);
                   });
  EXPECT_GT(Withdrawn, 100);
  EXPECT_LT(Withdrawn, Attempts / 2);
  Clock_.advance(milliseconds(140000));
  cancel(*First_);
  EXPECT_EQ(outcome(), JobRequestOutcome::NoSuchJob);
}

// Guards against a submission that a node sends after a pause, long after its
// caller has cancelled it.
TEST_F(WithdrawnJobsTest, SubmissionIsNotSentAgainAfterItsTime) {
  Store_.WriteOutcome_ = StoreOutcome::NotDone;
  submit(*First_);
  Store_.WriteOutcome_ = StoreOutcome::Done;
  Clock_.advance(milliseconds(5000));
  First_->tick();
  EXPECT_EQ(outcome(), JobRequestOutcome::Refused);
  EXPECT_FALSE(isJobStored());
}

// Guards against a row that nobody removes, by which a job would be known
// whose other rows have been removed.
TEST_F(WithdrawnJobsTest, LateCancellationLeavesNoRowOfARemovedJob) {
  submit(*First_);
  Store_.LosesNextWriteOf_ = Cancellation_;
  cancel(*First_);
  ASSERT_EQ(Store_.LateWrites_.size(), 1U);
  Store_.Rows_.erase(Submission_);
  Store_.applyLateWrites();
  EXPECT_FALSE(Store_.Rows_.contains(Cancellation_));
}

/// Refuses every submission that it is asked about.
class ClosedAdmission : public IAdmission {
public:
  std::optional<AdmissionRefusal> refusalOf(const AdmissionOffer &) override {
    return AdmissionRefusal();
  }
  void onAccepted(const AdmissionOffer &) override {}
  void onRefused(const AdmissionOffer &, const AdmissionRefusal &) override {}
};

// Guards against a withdrawn job that counts as accepted where load is refused.
TEST_F(WithdrawnJobsTest, RepeatIsRefusedUnderPressureToo) {
  ClosedAdmission Admission;
  Second_->setAdmission(Admission);
  cancel(*First_);
  submit(*Second_);
  ASSERT_TRUE(Response_);
  EXPECT_EQ(Response_->Outcome_, JobRequestOutcome::Refused);
  EXPECT_EQ(Response_->State_, JobPhase::Cancelled);
}

/// Owners of a pool in whose queue jobs are withdrawn.
class OwnerOfWithdrawnJobsTest : public PoolOwnerTest {
protected:
  void run(SchedulerNode &Node, milliseconds Duration) {
    for (const TimePoint End = Clock_.now() + Duration; Clock_.now() < End;) {
      Clock_.advance(milliseconds(50));
      Store_.deliverChanges();
      Node.tick();
    }
  }

  void cancel(SchedulerNode &Node) {
    Node.jobRequests().cancel(Queue_, JobId, milliseconds(1000),
                              [](const JobResponse &) {});
  }

  bool isRowStored() const {
    return Store_.Rows_.contains(
        jobrows::keyOf("queue", JobId, JobRowKind::Submission));
  }
};

// Guards against a withdrawn job that is counted or shown as pending.
TEST_F(OwnerOfWithdrawnJobsTest, WithdrawnJobIsNoJobOfThePool) {
  auto Node = joinNode("node-1", "process-1", {});
  run(*Node, milliseconds(5000));
  cancel(*Node);
  run(*Node, milliseconds(3000));
  ASSERT_TRUE(isRowStored());
  ASSERT_EQ(Node->pools().size(), 1U);
  EXPECT_EQ(Node->pools().front().Jobs_, 0U);
  EXPECT_EQ(Node->pendingJobCount("queue"), 0U);
}

// Guards against rows that stay in the store for good, and against rows that
// are gone before a late submission has failed.
TEST_F(OwnerOfWithdrawnJobsTest, RowIsRemovedAfterTheRetentionPeriod) {
  auto Node = joinNode("node-1", "process-1", {});
  run(*Node, milliseconds(5000));
  cancel(*Node);
  run(*Node, milliseconds(120000));
  EXPECT_TRUE(isRowStored());
  run(*Node, milliseconds(15000));
  EXPECT_FALSE(isRowStored());
  EXPECT_FALSE(Store_.Rows_.contains(
      jobrows::keyOf("queue", JobId, JobRowKind::Cancellation)));
}

TEST_F(OwnerOfWithdrawnJobsTest, NextOwnerRemovesTheRow) {
  auto First = joinNode("node-1", "process-1", {});
  run(*First, milliseconds(5000));
  cancel(*First);
  run(*First, milliseconds(1000));
  First->release();
  First.reset();
  auto Second = joinNode("node-2", "process-2", {});
  run(*Second, milliseconds(5000));
  EXPECT_TRUE(isRowStored());
  run(*Second, milliseconds(140000));
  EXPECT_FALSE(isRowStored());
}

// Guards against a removal that takes a row stored since under the same id.
TEST_F(OwnerOfWithdrawnJobsTest, RemovalSparesANewerRow) {
  auto Node = joinNode("node-1", "process-1", {});
  run(*Node, milliseconds(5000));
  cancel(*Node);
  run(*Node, milliseconds(100000));
  storeJob(jobOf(1));
  run(*Node, milliseconds(40000));
  EXPECT_TRUE(isRowStored());
}

} // namespace
} // namespace dragonflylock
