#include "scheduling/jobrequesthandler.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/controlrows.h"
#include "scheduling/iadmission.h"
#include "scheduling/internal/pooladmission.h"
#include "scheduling/istore.h"
#include "scheduling/jobprogress.h"
#include "scheduling/jobrowcodec.h"
#include "scheduling/jobrows.h"
#include "scheduling/queuedirectory.h"

#include <algorithm>
#include <utility>

namespace dragonflylock {
namespace {

/// Delay between two attempts of a call to the store.
constexpr std::chrono::milliseconds RetryDelay{100};
/// Longest time for which a request is retried while the store does not
/// respond. After that, an immediate refusal is more useful to the caller.
constexpr std::chrono::milliseconds MaxRequestTimeout{1200};
/// Retry-after time of a request that was refused since the store failed.
constexpr std::chrono::milliseconds StoreRetryAfter{1000};
/// Retry-After time of a submission of a withdrawn job. Earlier, another one is
/// refused as well.
constexpr std::chrono::milliseconds WithdrawnRetryAfter{120000};
/// Period in which withdrawals are limited, about the time for which their rows
/// are kept.
constexpr std::chrono::milliseconds WithdrawalPeriod{130000};
/// Maximum number of jobs that one node withdraws in that period, so that
/// cancellations of jobs that never existed do not fill the store.
constexpr std::size_t MaxWithdrawals = 2000;

/// Time within which the store tells whether a job was accepted before. Later,
/// a refusal would not reach the caller within 100 ms.
constexpr std::chrono::milliseconds AcceptanceReadTimeout{80};
/// Time after a failed call to the store in which nothing is refused. An
/// earlier attempt to store the same job, made by another node, may then still
/// be under way. Nodes give such an attempt up after MaxRequestTimeout.
constexpr std::chrono::milliseconds NoRefusalsAfterFailure{5000};

const char *nameOf(JobRequestOutcome Outcome) {
  switch (Outcome) {
  case JobRequestOutcome::Accepted:
    return "accepted";
  case JobRequestOutcome::Refused:
    return "refused";
  case JobRequestOutcome::Unknown:
    return "unknown";
  case JobRequestOutcome::NoSuchJob:
    return "no-such-job";
  }
  return "unknown";
}

/// \returns the submission row among the rows of a job, or null.
const StoreRow *submissionIn(const std::vector<StoreRow> &Rows) {
  auto Found = std::find_if(Rows.begin(), Rows.end(), [](const StoreRow &Row) {
    return jobrows::kindOf(Row.Name_) == JobRowKind::Submission;
  });
  return Found == Rows.end() ? nullptr : &*Found;
}

/// \returns whether there is a submission row and it tells that the job was
/// withdrawn.
bool isWithdrawn(const StoreRow *Submission) {
  return Submission != nullptr &&
         jobrowcodec::decodeWithdrawn(Submission->Value_).has_value();
}

JobResponse withdrawnResponse() {
  return {JobRequestOutcome::Refused, WithdrawnRetryAfter, JobPhase::Cancelled};
}

} // namespace

struct JobRequestHandler::PendingRequest {
  const char *Kind_ = "";
  std::string Queue_;
  std::string Pool_;
  std::string Job_;
  /// Encoded value of the submission row.
  std::string Row_;
  TimePoint StartTime_;
  TimePoint Deadline_;
  /// Whether a write to the store has no outcome yet.
  bool IsWriting_ = false;
  /// Whether the outcome of an attempt is unknown.
  bool MayHaveTakenEffect_ = false;
  bool IsFinished_ = false;
  /// Whether the store was asked if the job has been accepted before.
  bool IsReadingAcceptance_ = false;
  /// What admission knows of the submission.
  std::optional<AdmissionOffer> Offer_;
  ResponseCallback OnResponse_;
};

JobRequestHandler::JobRequestHandler(IStore &Store, const IClock &Clock,
                                     ILogger &Logger, QueueDirectory &Queues,
                                     LocalStateLookup Local)
    : Store_(Store), Clock_(Clock), Logger_(Logger), Queues_(Queues),
      LocalState_(std::move(Local)) {}

std::shared_ptr<JobRequestHandler::PendingRequest> JobRequestHandler::begin(
    const char *Kind, const std::string &Queue, const std::string &Job,
    std::chrono::milliseconds Timeout, ResponseCallback OnResponse) {
  auto Request = std::make_shared<PendingRequest>();
  Request->Kind_ = Kind;
  Request->Queue_ = Queue;
  Request->Job_ = Job;
  Request->StartTime_ = Clock_.now();
  Request->Deadline_ =
      Request->StartTime_ + std::min(Timeout, MaxRequestTimeout);
  Request->OnResponse_ = std::move(OnResponse);
  Pending_.insert(Request);
  if (IsEnding_)
    finishWithoutResult(Request);
  return Request;
}

void JobRequestHandler::submit(const QueueSetting &Queue,
                               const std::string &Job, JobSpec Spec,
                               std::chrono::milliseconds Timeout,
                               ResponseCallback OnResponse) {
  SubmittedJob Stored;
  Stored.Queue_ = Queue.Name_;
  Stored.Pool_ = Queue.Pool_;
  Stored.Policy_ = Queue;
  Stored.Spec_ = std::move(Spec);
  Stored.AcceptedAt_ =
      std::chrono::milliseconds(millisecondsSinceEpoch(Clock_.wallNow()));
  auto Request =
      begin("submit", Queue.Name_, Job, Timeout, std::move(OnResponse));
  Request->Pool_ = Queue.Pool_;
  Request->Row_ = jobrowcodec::encode(Stored);
  if (Admission_ != nullptr && !Request->IsFinished_) {
    Request->Offer_ = {Queue.Pool_, Queue.Name_, Job,
                       admissionJobOf(Queue, Stored.Spec_)};
    if (auto Refusal = Admission_->refusalOf(*Request->Offer_);
        Refusal && mayRefuse(*Request)) {
      refuseUnlessAccepted(Request, *Refusal);
      return;
    }
  }
  trySubmit(Request);
}

bool JobRequestHandler::mayRefuse(const PendingRequest &Request) const {
  if (Clock_.now() < NoRefusalsBefore_)
    return false;
  // An earlier attempt at this node may still store the job.
  return std::none_of(Pending_.begin(), Pending_.end(), [&](const auto &Each) {
    auto Other = Each.lock();
    return Other && Other.get() != &Request && Other->Job_ == Request.Job_ &&
           Other->Offer_;
  });
}

void JobRequestHandler::refuseUnlessAccepted(
    const std::shared_ptr<PendingRequest> &Request,
    const AdmissionRefusal &Refusal) {
  Request->IsReadingAcceptance_ = true;
  readJob(Request, [this, Request, Refusal](const StoreRange &Read) {
    onAcceptanceRead(Request, Refusal, Read);
  });
  if (!Request->IsReadingAcceptance_)
    return;
  Retries_.emplace_back(Clock_.now() + AcceptanceReadTimeout, [this, Request] {
    if (std::exchange(Request->IsReadingAcceptance_, false))
      trySubmit(Request);
  });
}

void JobRequestHandler::onAcceptanceRead(
    const std::shared_ptr<PendingRequest> &Request,
    const AdmissionRefusal &Refusal, const StoreRange &Read) {
  if (!std::exchange(Request->IsReadingAcceptance_, false) ||
      Request->IsFinished_)
    return;
  if (Read.Outcome_ != StoreOutcome::Done) {
    NoRefusalsBefore_ = Clock_.now() + NoRefusalsAfterFailure;
    Logger_.write(
        LogLevel::Warning,
        LogEvent("admission.unread")
            .with("job", Request->Job_)
            .with("queue", Request->Queue_)
            .with("store-outcome", dragonflylock::nameOf(Read.Outcome_)));
    trySubmit(Request);
    return;
  }
  const StoreRow *Submission = submissionIn(Read.Rows_);
  if (isWithdrawn(Submission)) {
    finish(Request, withdrawnResponse());
    return;
  }
  if (Submission != nullptr) {
    finish(Request, {JobRequestOutcome::Accepted, {}, JobPhase::Queued});
    return;
  }
  Admission_->onRefused(*Request->Offer_, Refusal);
  finish(Request,
         {JobRequestOutcome::Refused, Refusal.RetryAfter_, JobPhase::Queued});
}

void JobRequestHandler::trySubmit(
    const std::shared_ptr<PendingRequest> &Request) {
  if (Request->IsFinished_)
    return;
  // After a pause of this process, the caller may have withdrawn the job.
  if (Clock_.now() >= Request->Deadline_) {
    finishWithoutResult(Request);
    return;
  }
  // A write that may have taken effect is repeated to learn its outcome.
  if (!Request->MayHaveTakenEffect_ && !Breaker_.admit(Clock_.now())) {
    finishWithoutResult(Request);
    return;
  }
  if (!Queues_.contains(Request->Pool_, Request->Queue_)) {
    recordQueue(Request, [this, Request] { trySubmit(Request); });
    return;
  }
  Request->IsWriting_ = true;
  StoreKey Row =
      jobrows::keyOf(Request->Queue_, Request->Job_, JobRowKind::Submission);
  StoreTransaction Transaction;
  Transaction.Expected_ = {{Row, 0}};
  Transaction.Puts_ = {{Row, Request->Row_}};
  Store_.transact(
      std::move(Transaction),
      [Weak = weak_from_this(), Request](const StoreTransactionResult &End) {
        if (auto Self = Weak.lock())
          Self->onSubmitted(Request, End);
      });
}

void JobRequestHandler::recordWrite(StoreOutcome Outcome) {
  const TimePoint Now = Clock_.now();
  const bool WasOpen = Breaker_.isOpen(Now);
  Breaker_.record(Outcome, Now);
  if (Outcome != StoreOutcome::Done && Outcome != StoreOutcome::ConditionFailed)
    NoRefusalsBefore_ = Now + NoRefusalsAfterFailure;
  if (Breaker_.isOpen(Now) != WasOpen)
    Logger_.write(
        WasOpen ? LogLevel::Info : LogLevel::Warning,
        LogEvent(WasOpen ? "submissions.resumed" : "submissions.suspended")
            .with("store-outcome", dragonflylock::nameOf(Outcome)));
}

void JobRequestHandler::recordQueue(
    const std::shared_ptr<PendingRequest> &Request, Attempt Then) {
  StoreKey Row = controlrows::queue(Request->Pool_, Request->Queue_);
  auto &Waiting = Recording_[Row];
  Waiting.emplace_back(Request, std::move(Then));
  if (Waiting.size() > 1)
    return;
  StoreTransaction Transaction;
  Transaction.Puts_ = {
      {Row, controlrows::encode(QueueRow{Request->Pool_, Request->Queue_})}};
  Store_.transact(
      std::move(Transaction),
      [Weak = weak_from_this(), Row](const StoreTransactionResult &End) {
        if (auto Self = Weak.lock())
          Self->onQueueRecorded(Row, End.Outcome_);
      });
}

void JobRequestHandler::onQueueRecorded(const StoreKey &Row,
                                        StoreOutcome Outcome) {
  recordWrite(Outcome);
  auto Waiting = std::exchange(Recording_[Row], {});
  Recording_.erase(Row);
  for (auto &[Request, Then] : Waiting) {
    if (Outcome != StoreOutcome::Done) {
      retry(Request, std::move(Then));
      continue;
    }
    Queues_.add(Request->Pool_, Request->Queue_);
    Then();
  }
}

void JobRequestHandler::onSubmitted(
    const std::shared_ptr<PendingRequest> &Request,
    const StoreTransactionResult &End) {
  Request->IsWriting_ = false;
  recordWrite(End.Outcome_);
  switch (End.Outcome_) {
  case StoreOutcome::Done:
    if (Admission_ != nullptr && Request->Offer_)
      Admission_->onAccepted(*Request->Offer_);
    [[fallthrough]];
  case StoreOutcome::ConditionFailed:
    if (isWithdrawn(submissionIn(End.Current_))) {
      finish(Request, withdrawnResponse());
      return;
    }
    // An existing row holds this same job, from an earlier attempt.
    finish(Request, {JobRequestOutcome::Accepted, {}, JobPhase::Queued});
    return;
  case StoreOutcome::Unknown:
    Request->MayHaveTakenEffect_ = true;
    break;
  default:
    break;
  }
  retry(Request, [this, Request] { trySubmit(Request); });
}

void JobRequestHandler::retry(const std::shared_ptr<PendingRequest> &Request,
                              Attempt Again) {
  if (Request->IsFinished_)
    return;
  const TimePoint Next = Clock_.now() + RetryDelay;
  if (Next < Request->Deadline_) {
    Retries_.emplace_back(Next, std::move(Again));
    return;
  }
  finishWithoutResult(Request);
}

void JobRequestHandler::finishWithoutResult(
    const std::shared_ptr<PendingRequest> &Request) {
  if (Request->MayHaveTakenEffect_ || Request->IsWriting_)
    finish(Request, {JobRequestOutcome::Unknown, {}, JobPhase::Queued});
  else
    finish(Request,
           {JobRequestOutcome::Refused, StoreRetryAfter, JobPhase::Queued});
}

void JobRequestHandler::finishAll() {
  IsEnding_ = true;
  for (const auto &Each : std::exchange(Pending_, {}))
    if (auto Request = Each.lock())
      finishWithoutResult(Request);
  Retries_.clear();
}

void JobRequestHandler::tick() {
  const TimePoint Now = Clock_.now();
  std::vector<Attempt> DueNow;
  std::erase_if(Retries_, [&](auto &Each) {
    if (Each.first > Now)
      return false;
    DueNow.push_back(std::move(Each.second));
    return true;
  });
  for (const Attempt &Again : DueNow)
    Again();
}

void JobRequestHandler::finish(const std::shared_ptr<PendingRequest> &Request,
                               JobResponse Response) {
  if (std::exchange(Request->IsFinished_, true))
    return;
  Pending_.erase(Request);
  bool IsRoutine = Response.Outcome_ == JobRequestOutcome::Accepted &&
                   std::string_view(Request->Kind_) == "state";
  LogEvent Event("caller.answered");
  Event.with("call", Request->Kind_)
      .with("job", Request->Job_)
      .with("queue", Request->Queue_)
      .with("outcome", nameOf(Response.Outcome_))
      .with("took", std::chrono::duration_cast<std::chrono::microseconds>(
                        Clock_.now() - Request->StartTime_));
  if (Response.Outcome_ == JobRequestOutcome::Refused &&
      Response.State_ == JobPhase::Cancelled)
    Event.with("reason", "withdrawn");
  Logger_.write(IsRoutine ? LogLevel::Debug : LogLevel::Info, Event);
  Request->OnResponse_(Response);
}

void JobRequestHandler::readJob(const std::shared_ptr<PendingRequest> &Request,
                                std::function<void(const StoreRange &)> Then) {
  Store_.readRange(jobrows::tableOf(Request->Queue_), Request->Queue_,
                   Request->Job_ + "/", jobrows::endKeyOf(Request->Job_),
                   MaxPageRows,
                   [Weak = weak_from_this(),
                    Then = std::move(Then)](const StoreRange &Read) {
                     if (Weak.lock())
                       Then(Read);
                   });
}

void JobRequestHandler::state(const std::string &Queue, const std::string &Job,
                              std::chrono::milliseconds Timeout,
                              ResponseCallback OnResponse) {
  auto Request = begin("state", Queue, Job, Timeout, std::move(OnResponse));
  readJob(Request, [this, Request](const StoreRange &Read) {
    onStateRead(Request, Read);
  });
}

namespace {

/// \returns the state of the job whose rows are \p Rows.
JobPhase stateFrom(const std::vector<StoreRow> &Rows) {
  JobPhase State = JobPhase::Queued;
  bool IsCancelled = false;
  for (const StoreRow &Row : Rows) {
    auto Kind = jobrows::kindOf(Row.Name_);
    if (Kind == JobRowKind::Cancellation)
      IsCancelled = true;
    if (Kind != JobRowKind::Progress)
      continue;
    JobProgress Read;
    if (Read.decode(Row.Value_))
      State = Read.state();
  }
  if (IsCancelled && !isFinal(State))
    return JobPhase::Cancelled;
  return State;
}

} // namespace

void JobRequestHandler::onStateRead(
    const std::shared_ptr<PendingRequest> &Request, const StoreRange &Read) {
  auto Local = LocalState_(Request->Job_);
  if (Read.Outcome_ != StoreOutcome::Done) {
    if (Local && !isFinal(*Local)) {
      finish(Request, {JobRequestOutcome::Accepted, {}, *Local});
      return;
    }
    retry(Request, [this, Request] {
      readJob(Request, [this, Request](const StoreRange &Again) {
        onStateRead(Request, Again);
      });
    });
    return;
  }
  const StoreRow *Submission = submissionIn(Read.Rows_);
  if (Submission == nullptr || isWithdrawn(Submission)) {
    finish(Request, {JobRequestOutcome::NoSuchJob, {}, JobPhase::Queued});
    return;
  }
  finish(Request, {JobRequestOutcome::Accepted, {}, stateFrom(Read.Rows_)});
}

void JobRequestHandler::cancel(const QueueSetting &Queue,
                               const std::string &Job,
                               std::chrono::milliseconds Timeout,
                               ResponseCallback OnResponse) {
  auto Request =
      begin("cancel", Queue.Name_, Job, Timeout, std::move(OnResponse));
  Request->Pool_ = Queue.Pool_;
  readToCancel(Request);
}

void JobRequestHandler::readToCancel(
    const std::shared_ptr<PendingRequest> &Request) {
  if (Request->IsFinished_)
    return;
  readJob(Request, [this, Request](const StoreRange &Read) {
    onCancelRead(Request, Read);
  });
}

void JobRequestHandler::onCancelRead(
    const std::shared_ptr<PendingRequest> &Request, const StoreRange &Read) {
  if (Read.Outcome_ != StoreOutcome::Done) {
    retry(Request, [this, Request] { readToCancel(Request); });
    return;
  }
  const StoreRow *Submission = submissionIn(Read.Rows_);
  if (Submission == nullptr) {
    tryWithdraw(Request);
    return;
  }
  if (isWithdrawn(Submission)) {
    finish(Request, {JobRequestOutcome::NoSuchJob, {}, JobPhase::Cancelled});
    return;
  }
  JobPhase State = stateFrom(Read.Rows_);
  if (isFinal(State)) {
    finish(Request, {JobRequestOutcome::Accepted, {}, State});
    return;
  }
  tryCancel(Request, Submission->Version_);
}

void JobRequestHandler::tryCancel(
    const std::shared_ptr<PendingRequest> &Request, StoreVersion Submission) {
  // Without the condition, a late write would outlive the job's other rows.
  StoreTransaction Transaction;
  Transaction.Expected_ = {
      {jobrows::keyOf(Request->Queue_, Request->Job_, JobRowKind::Submission),
       Submission}};
  Transaction.Puts_ = {
      {jobrows::keyOf(Request->Queue_, Request->Job_, JobRowKind::Cancellation),
       "{}"}};
  writeToCancel(Request, std::move(Transaction),
                {JobRequestOutcome::Accepted, {}, JobPhase::Cancelled});
}

bool JobRequestHandler::mayWithdraw() {
  const TimePoint Now = Clock_.now();
  while (!Withdrawals_.empty() &&
         Withdrawals_.front() + WithdrawalPeriod <= Now)
    Withdrawals_.pop_front();
  return Withdrawals_.size() < MaxWithdrawals;
}

void JobRequestHandler::tryWithdraw(
    const std::shared_ptr<PendingRequest> &Request) {
  if (Request->IsFinished_)
    return;
  if (!mayWithdraw()) {
    finishWithoutResult(Request);
    return;
  }
  // The owner of the pool removes the row, and it finds only recorded queues.
  if (!Queues_.contains(Request->Pool_, Request->Queue_)) {
    recordQueue(Request, [this, Request] { tryWithdraw(Request); });
    return;
  }
  Withdrawals_.push_back(Clock_.now());
  const StoreKey Submission =
      jobrows::keyOf(Request->Queue_, Request->Job_, JobRowKind::Submission);
  StoreTransaction Transaction;
  Transaction.Expected_ = {{Submission, 0}};
  // A node of an earlier version can't read the first row. By the second one,
  // it shows the job as cancelled.
  Transaction.Puts_ = {
      {Submission,
       jobrowcodec::encode(WithdrawnJob{Request->Queue_, Request->Pool_})},
      {jobrows::keyOf(Request->Queue_, Request->Job_, JobRowKind::Cancellation),
       "{}"}};
  writeToCancel(Request, std::move(Transaction),
                {JobRequestOutcome::NoSuchJob, {}, JobPhase::Cancelled});
}

void JobRequestHandler::writeToCancel(
    const std::shared_ptr<PendingRequest> &Request,
    StoreTransaction Transaction, JobResponse Response) {
  Request->IsWriting_ = true;
  Store_.transact(
      std::move(Transaction), [Weak = weak_from_this(), Request,
                               Response](const StoreTransactionResult &End) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        Request->IsWriting_ = false;
        if (End.Outcome_ == StoreOutcome::Done) {
          Self->finish(Request, Response);
          return;
        }
        Request->MayHaveTakenEffect_ = Request->MayHaveTakenEffect_ ||
                                       End.Outcome_ == StoreOutcome::Unknown;
        Self->retry(Request, [Self, Request] { Self->readToCancel(Request); });
      });
}

} // namespace dragonflylock
