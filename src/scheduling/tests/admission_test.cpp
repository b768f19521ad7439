#include "scheduling/controlrows.h"
#include "scheduling/internal/pooladmission.h"
#include "scheduling/jobrequesthandler.h"
#include "scheduling/jobrows.h"
#include "scheduling/queuedirectory.h"
#include "scheduling/schedulingsettings.h"
#include "scheduling/tests/mocks/fakefleet.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr FencingToken Token = 7;

/// A store whose reads of ranges can fail or stay without an answer.
class UnreadableStore : public InstantStore {
public:
  void readRange(const std::string &Table, const std::string &Part,
                 const std::string &From, const std::string &To,
                 std::size_t Most, RangeCallback Done) override {
    if (IsSilent_)
      return;
    if (ReadOutcome_ == StoreOutcome::Done) {
      InstantStore::readRange(Table, Part, From, To, Most, std::move(Done));
      return;
    }
    StoreRange Read;
    Read.Outcome_ = ReadOutcome_;
    Done(Read);
  }

  bool IsSilent_ = false;
  StoreOutcome ReadOutcome_ = StoreOutcome::Done;
};

/// A node whose pool has reported a backlog that takes it 60 s.
class AdmissionTest : public testing::Test {
protected:
  AdmissionTest()
      : Admission_(Settings_, Clock_, Logger_,
                   [this](const std::string &) { return CurrentOwner_; }) {
    Settings_.RefusesUnderPressure_ = true;
    Queue_.Name_ = "queue";
    Queue_.Pool_ = "pool";
    Queue_.Priority_ = 1;
    Queue_.Stretch_ = 1.6;
    Queue_.TargetLatency_ = milliseconds(600);
    Queues_.add("pool", "queue");
    Handler_ = std::make_shared<JobRequestHandler>(
        Store_, Clock_, Logger_, Queues_,
        [](const std::string &) { return std::nullopt; });
    Handler_->setAdmission(Admission_);
    report(/*IsSnapshot=*/false);
  }

  void report(bool IsSnapshot) {
    PendingRow Row;
    Row.Token_ = Token;
    Row.Backlog_.emplace();
    Row.Backlog_->MeasuredAt_ =
        milliseconds(millisecondsSinceEpoch(Clock_.wallNow()));
    Row.Backlog_->Speed_ = 10;
    PriorityBacklog &Of = Row.Backlog_->Priorities_[1];
    Of.OnTime_.add(milliseconds(-700), 300000);
    Of.Late_.add(milliseconds(-5000), 300000);
    Of.FrontAge_ = milliseconds(700);
    Admission_.onPendingRow("pool", ++RowVersion_, Row, IsSnapshot);
  }

  JobResponse submit(const std::string &Job) {
    JobSpec Spec;
    StepSpec Step;
    Step.Estimate_ = milliseconds(200);
    Step.PerTask_.CpuMillis_ = 1000;
    Spec.Steps_ = {Step};
    IsAnswered_ = false;
    Handler_->submit(Queue_, Job, Spec, milliseconds(3000),
                     [this](const JobResponse &Response) {
                       IsAnswered_ = true;
                       Last_ = Response;
                     });
    return Last_;
  }

  bool isStored(const std::string &Job) const {
    return Store_.Rows_.contains(
        jobrows::keyOf("queue", Job, JobRowKind::Submission));
  }
  bool hasLogged(const std::string &Event) const {
    return std::find(Logger_.Events_.begin(), Logger_.Events_.end(), Event) !=
           Logger_.Events_.end();
  }

  SchedulingSettings Settings_;
  ManualClock Clock_;
  EventRecorder Logger_;
  UnreadableStore Store_;
  QueueDirectory Queues_;
  QueueSetting Queue_;
  std::optional<FencingToken> CurrentOwner_ = Token;
  PoolAdmission Admission_;
  std::shared_ptr<JobRequestHandler> Handler_;
  StoreVersion RowVersion_ = 0;
  bool IsAnswered_ = false;
  JobResponse Last_;
};

// Guards against refusals that leave something behind which runs later, and
// against refusals without a time at which to come back.
TEST_F(AdmissionTest, RefusesAtOnceAndWritesNothing) {
  const JobResponse Response = submit("aa");
  ASSERT_TRUE(IsAnswered_);
  EXPECT_EQ(Response.Outcome_, JobRequestOutcome::Refused);
  EXPECT_GE(Response.RetryAfter_, milliseconds(1000));
  EXPECT_EQ(Response.RetryAfter_ % milliseconds(1000), milliseconds(0));
  EXPECT_TRUE(Store_.Rows_.empty());
  EXPECT_TRUE(hasLogged("admission.closed"));
  EXPECT_TRUE(hasLogged("admission.refused"));
}

// Guards against callers that are told "not run" of a job that runs.
TEST_F(AdmissionTest, RepeatOfAnAcceptedJobIsNeverRefused) {
  Settings_.RefusesUnderPressure_ = false;
  ASSERT_EQ(submit("aa").Outcome_, JobRequestOutcome::Accepted);
  Settings_.RefusesUnderPressure_ = true;
  const StoreVersion Before = Store_.Version_;
  EXPECT_EQ(submit("aa").Outcome_, JobRequestOutcome::Accepted);
  EXPECT_EQ(Store_.Version_, Before);
  EXPECT_EQ(submit("bb").Outcome_, JobRequestOutcome::Refused);
}

// Guards against a refusal while the first attempt's write is under way at the
// same node.
TEST_F(AdmissionTest, RepeatIsNotRefusedWhileItsFirstAttemptIsBeingStored) {
  Settings_.RefusesUnderPressure_ = false;
  Store_.DelaysResponses_ = true;
  submit("aa");
  Store_.Rows_.clear(); // The write has not reached the store yet.
  Settings_.RefusesUnderPressure_ = true;
  submit("aa");
  EXPECT_FALSE(IsAnswered_);
  Store_.release();
  EXPECT_EQ(Last_.Outcome_, JobRequestOutcome::Accepted);
}

// Guards against refusals by a node that cannot tell whether the job exists.
TEST_F(AdmissionTest, SubmitsAsBeforeIfTheStoreCannotBeRead) {
  for (StoreOutcome Outcome : {StoreOutcome::NotDone, StoreOutcome::Unknown}) {
    Store_.ReadOutcome_ = Outcome;
    const std::string Job = nameOf(Outcome);
    EXPECT_EQ(submit(Job).Outcome_, JobRequestOutcome::Accepted);
    EXPECT_TRUE(isStored(Job));
  }
  EXPECT_TRUE(hasLogged("admission.unread"));
  // A failed call means that writes may be late as well.
  Store_.ReadOutcome_ = StoreOutcome::Done;
  Clock_.advance(milliseconds(1000));
  report(/*IsSnapshot=*/false);
  EXPECT_EQ(submit("cc").Outcome_, JobRequestOutcome::Accepted);
  Clock_.advance(milliseconds(5000));
  report(/*IsSnapshot=*/false);
  EXPECT_EQ(submit("dd").Outcome_, JobRequestOutcome::Refused);
}

// Guards against callers that wait for a read that is never answered.
TEST_F(AdmissionTest, SubmitsAsBeforeIfTheStoreDoesNotAnswer) {
  Store_.IsSilent_ = true;
  submit("aa");
  EXPECT_FALSE(IsAnswered_);
  Clock_.advance(milliseconds(100));
  Handler_->tick();
  ASSERT_TRUE(IsAnswered_);
  EXPECT_EQ(Last_.Outcome_, JobRequestOutcome::Accepted);
  EXPECT_TRUE(isStored("aa"));
}

// Guards against refusals after the owner stopped reporting.
TEST_F(AdmissionTest, StaleReportDecidesNothing) {
  Clock_.advance(AdmissionForecast::MaxReportAge + milliseconds(1));
  EXPECT_EQ(submit("aa").Outcome_, JobRequestOutcome::Accepted);
}

// Guards against refusals by a row that was written long before the node
// started, and that is read again.
TEST_F(AdmissionTest, RowOfASnapshotDecidesNothing) {
  report(/*IsSnapshot=*/true);
  EXPECT_EQ(submit("aa").Outcome_, JobRequestOutcome::Accepted);
}

// Guards against refusals by the backlog that a former owner knew.
TEST_F(AdmissionTest, ReportOfAFormerOwnerDecidesNothing) {
  CurrentOwner_ = Token + 1;
  EXPECT_EQ(submit("aa").Outcome_, JobRequestOutcome::Accepted);
  CurrentOwner_.reset();
  EXPECT_EQ(submit("bb").Outcome_, JobRequestOutcome::Accepted);
}

// Guards against other answers or calls in deployments without admission.
TEST_F(AdmissionTest, WithoutTheSettingNothingIsReadOrRefused) {
  Settings_.RefusesUnderPressure_ = false;
  EXPECT_EQ(submit("aa").Outcome_, JobRequestOutcome::Accepted);
  ASSERT_EQ(Store_.Calls_.size(), 1U);
  EXPECT_EQ(Store_.Calls_.begin()->first,
            jobrows::keyOf("queue", "aa", JobRowKind::Submission));
}

// Guards against refusals after the backlog has gone, and tells operators.
TEST_F(AdmissionTest, OpensWithTheFirstReportWithoutABacklog) {
  ASSERT_EQ(submit("aa").Outcome_, JobRequestOutcome::Refused);
  PendingRow Row;
  Row.Token_ = Token;
  Admission_.onPendingRow("pool", ++RowVersion_, Row, /*IsSnapshot=*/false);
  EXPECT_EQ(submit("aa").Outcome_, JobRequestOutcome::Accepted);
  Clock_.advance(milliseconds(2000));
  Admission_.tick();
  EXPECT_TRUE(hasLogged("admission.open"));
}

// Guards against refusals of jobs that have no objective to miss.
TEST_F(AdmissionTest, LongRunningAndTimedJobsAreExempt) {
  JobSpec Spec;
  Spec.Steps_ = {StepSpec()};
  EXPECT_FALSE(admissionJobOf(Queue_, Spec).IsExempt_);
  Spec.OccurrenceCount_ = 2;
  EXPECT_TRUE(admissionJobOf(Queue_, Spec).IsExempt_);
  Spec.OccurrenceCount_ = 0;
  Spec.Steps_[0].IsLongRunning_ = true;
  EXPECT_TRUE(admissionJobOf(Queue_, Spec).IsExempt_);
}

// Guards against an objective that counts parallel steps one after the other.
TEST_F(AdmissionTest, ChainIsTheLongestPathAndWorkCountsAllTasks) {
  StepSpec First;
  First.TaskCount_ = 3;
  First.Estimate_ = milliseconds(100);
  First.PerTask_.CpuMillis_ = 500;
  StepSpec Beside = First;
  Beside.Estimate_ = milliseconds(250);
  StepSpec Last = First;
  Last.After_ = {0, 1};
  JobSpec Spec;
  Spec.Steps_ = {First, Beside, Last};
  const AdmissionJob Job = admissionJobOf(Queue_, Spec);
  EXPECT_EQ(Job.Chain_, milliseconds(350));
  EXPECT_EQ(Job.Work_, 3 * (100 + 250 + 100) / 2);
}

} // namespace
} // namespace dragonflylock
