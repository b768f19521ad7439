#include "scheduling/jobdesk.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/istore.h"
#include "scheduling/jobprogress.h"
#include "scheduling/jobrowcodec.h"
#include "scheduling/jobrows.h"

#include <algorithm>

namespace dragonflylock {
namespace {

/// Pause between two attempts of a call to the store.
constexpr std::chrono::milliseconds RetryPause{100};
/// Longest time for which a caller is kept while the store does not answer.
/// Beyond it an immediate refusal serves the caller better.
constexpr std::chrono::milliseconds LongestEffort{1200};
/// When a caller that was refused for the store's sake may come back.
constexpr std::chrono::milliseconds StoreRetryAfter{1000};

const char *nameOf(DeskOutcome Outcome) {
  switch (Outcome) {
  case DeskOutcome::Accepted:
    return "accepted";
  case DeskOutcome::Refused:
    return "refused";
  case DeskOutcome::Unknown:
    return "unknown";
  case DeskOutcome::NoSuchJob:
    return "no-such-job";
  }
  return "unknown";
}

} // namespace

struct JobDesk::Call {
  const char *Kind_ = "";
  std::string Queue_;
  std::string Job_;
  /// The submission's row.
  std::string Row_;
  TimePoint Begun_;
  TimePoint GiveUpAt_;
  /// Whether an attempt may have taken effect.
  bool WasUnknown_ = false;
  Done Answer_;
};

JobDesk::JobDesk(IStore &Store, const IClock &Clock, ILogger &Logger,
                 LocalState Local)
    : Store_(Store), Clock_(Clock), Logger_(Logger), Local_(std::move(Local)) {}

void JobDesk::submit(const QueueSetting &Queue, const std::string &Job,
                     JobSpec Spec, std::chrono::milliseconds Longest,
                     Done Answer) {
  SubmittedJob Stored;
  Stored.Queue_ = Queue.Name_;
  Stored.Pool_ = Queue.Pool_;
  Stored.Spec_ = std::move(Spec);
  Stored.AcceptedAt_ =
      std::chrono::milliseconds(millisecondsSinceEpoch(Clock_.wallNow()));
  auto Each = std::make_shared<Call>();
  Each->Kind_ = "submit";
  Each->Queue_ = Queue.Name_;
  Each->Job_ = Job;
  Each->Row_ = jobrowcodec::encode(Stored);
  Each->Begun_ = Clock_.now();
  Each->GiveUpAt_ = Each->Begun_ + std::min(Longest, LongestEffort);
  Each->Answer_ = std::move(Answer);
  trySubmit(Each);
}

void JobDesk::trySubmit(const std::shared_ptr<Call> &Each) {
  StoreKey Row =
      jobrows::name(Each->Queue_, Each->Job_, JobRowKind::Submission);
  StoreTransaction Wanted;
  Wanted.Expected_ = {{Row, 0}};
  Wanted.Puts_ = {{Row, Each->Row_}};
  Store_.transact(std::move(Wanted), [Weak = weak_from_this(),
                                      Each](const StoreTransactionResult &End) {
    if (auto Self = Weak.lock())
      Self->onSubmitted(Each, End);
  });
}

void JobDesk::onSubmitted(const std::shared_ptr<Call> &Each,
                          const StoreTransactionResult &End) {
  switch (End.Outcome_) {
  case StoreOutcome::Done:
  case StoreOutcome::ConditionFailed:
    // A row that exists is this job's, from an earlier attempt.
    finish(Each, {DeskOutcome::Accepted, {}, JobPhase::Queued});
    return;
  case StoreOutcome::Unknown:
    Each->WasUnknown_ = true;
    break;
  default:
    break;
  }
  retry(Each, [this, Each] { trySubmit(Each); });
}

void JobDesk::retry(const std::shared_ptr<Call> &Each, Attempt Again) {
  const TimePoint Next = Clock_.now() + RetryPause;
  if (Next < Each->GiveUpAt_) {
    Waiting_.emplace_back(Next, std::move(Again));
    return;
  }
  if (Each->WasUnknown_)
    finish(Each, {DeskOutcome::Unknown, {}, JobPhase::Queued});
  else
    finish(Each, {DeskOutcome::Refused, StoreRetryAfter, JobPhase::Queued});
}

void JobDesk::tick() {
  const TimePoint Now = Clock_.now();
  std::vector<Attempt> DueNow;
  std::erase_if(Waiting_, [&](auto &Each) {
    if (Each.first > Now)
      return false;
    DueNow.push_back(std::move(Each.second));
    return true;
  });
  for (const Attempt &Again : DueNow)
    Again();
}

void JobDesk::finish(const std::shared_ptr<Call> &Each, DeskAnswer Answer) {
  bool IsRoutine = Answer.Outcome_ == DeskOutcome::Accepted &&
                   std::string_view(Each->Kind_) == "state";
  Logger_.write(
      IsRoutine ? LogLevel::Debug : LogLevel::Info,
      LogEvent("caller.answered")
          .with("call", Each->Kind_)
          .with("job", Each->Job_)
          .with("queue", Each->Queue_)
          .with("outcome", nameOf(Answer.Outcome_))
          .with("took", std::chrono::duration_cast<std::chrono::microseconds>(
                            Clock_.now() - Each->Begun_)));
  Each->Answer_(Answer);
}

void JobDesk::tryRead(const std::shared_ptr<Call> &Each,
                      std::function<void(const StoreRange &)> Then) {
  Store_.readRange(jobrows::tableOf(Each->Queue_), Each->Queue_,
                   Each->Job_ + "/", jobrows::endOf(Each->Job_), MaxPageRows,
                   [Weak = weak_from_this(),
                    Then = std::move(Then)](const StoreRange &Read) {
                     if (Weak.lock())
                       Then(Read);
                   });
}

void JobDesk::state(const std::string &Queue, const std::string &Job,
                    std::chrono::milliseconds Longest, Done Answer) {
  auto Each = std::make_shared<Call>();
  Each->Kind_ = "state";
  Each->Queue_ = Queue;
  Each->Job_ = Job;
  Each->Begun_ = Clock_.now();
  Each->GiveUpAt_ = Each->Begun_ + std::min(Longest, LongestEffort);
  Each->Answer_ = std::move(Answer);
  tryRead(Each, [this, Each](const StoreRange &Read) { onState(Each, Read); });
}

namespace {

/// \returns the state that a job's rows tell.
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

void JobDesk::onState(const std::shared_ptr<Call> &Each,
                      const StoreRange &Read) {
  auto Local = Local_(Each->Job_);
  if (Read.Outcome_ != StoreOutcome::Done) {
    if (Local && !isFinal(*Local)) {
      finish(Each, {DeskOutcome::Accepted, {}, *Local});
      return;
    }
    retry(Each, [this, Each] {
      tryRead(Each,
              [this, Each](const StoreRange &Again) { onState(Each, Again); });
    });
    return;
  }
  if (Read.Rows_.empty()) {
    finish(Each, {DeskOutcome::NoSuchJob, {}, JobPhase::Queued});
    return;
  }
  finish(Each, {DeskOutcome::Accepted, {}, stateFrom(Read.Rows_)});
}

void JobDesk::cancel(const std::string &Queue, const std::string &Job,
                     std::chrono::milliseconds Longest, Done Answer) {
  auto Each = std::make_shared<Call>();
  Each->Kind_ = "cancel";
  Each->Queue_ = Queue;
  Each->Job_ = Job;
  Each->Begun_ = Clock_.now();
  Each->GiveUpAt_ = Each->Begun_ + std::min(Longest, LongestEffort);
  Each->Answer_ = std::move(Answer);
  tryRead(Each,
          [this, Each](const StoreRange &Read) { onCancelRead(Each, Read); });
}

void JobDesk::onCancelRead(const std::shared_ptr<Call> &Each,
                           const StoreRange &Read) {
  if (Read.Outcome_ != StoreOutcome::Done) {
    retry(Each, [this, Each] {
      tryRead(Each, [this, Each](const StoreRange &Again) {
        onCancelRead(Each, Again);
      });
    });
    return;
  }
  if (Read.Rows_.empty()) {
    finish(Each, {DeskOutcome::NoSuchJob, {}, JobPhase::Queued});
    return;
  }
  JobPhase State = stateFrom(Read.Rows_);
  if (isFinal(State)) {
    finish(Each, {DeskOutcome::Accepted, {}, State});
    return;
  }
  tryCancel(Each);
}

void JobDesk::tryCancel(const std::shared_ptr<Call> &Each) {
  StoreTransaction Wanted;
  Wanted.Puts_ = {
      {jobrows::name(Each->Queue_, Each->Job_, JobRowKind::Cancellation),
       "{}"}};
  Store_.transact(std::move(Wanted), [Weak = weak_from_this(),
                                      Each](const StoreTransactionResult &End) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    if (End.Outcome_ == StoreOutcome::Done) {
      Self->finish(Each, {DeskOutcome::Accepted, {}, JobPhase::Cancelled});
      return;
    }
    Each->WasUnknown_ =
        Each->WasUnknown_ || End.Outcome_ == StoreOutcome::Unknown;
    Self->retry(Each, [Self, Each] { Self->tryCancel(Each); });
  });
}

} // namespace dragonflylock
