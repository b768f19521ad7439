#include "scheduling/internal/progresswriter.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/internal/runtracker.h"
#include "scheduling/istore.h"
#include "scheduling/jobrows.h"

#include <algorithm>
#include <iterator>

namespace dragonflylock {
namespace {

/// Bytes of the values of one transaction, unless a single row has more. The
/// store takes 1 MB, in which a value takes a third more.
constexpr std::size_t LargestBytes = 200000;
/// Pause after a transaction, in which ends gather. Callers ask for a job's
/// state far less often.
constexpr std::chrono::milliseconds GatherPause{40};
/// Pause after a transaction that failed.
constexpr std::chrono::milliseconds RetryPause{150};

StoreKey progressRow(const ActiveJob &Job) {
  return jobrows::name(Job.stored().Queue_, Job.id(), JobRowKind::Progress);
}

} // namespace

void ProgressWriter::flush() {
  if (!Pool_.holdsLease())
    return;
  Pool_.Index_.refresh();
  std::map<std::string, std::vector<ActiveJob *>> Batches;
  for (const auto &[Part, Jobs] : Pool_.Index_.dirty()) {
    const PartState &State = Parts_[Part];
    if (Jobs.empty() || State.IsBusy_ || State.NotBefore_ > Pool_.Clock_.now())
      continue;
    auto End = std::next(Jobs.begin(), static_cast<std::ptrdiff_t>(std::min(
                                           Jobs.size(), State.MostRows_)));
    Batches[Part].assign(Jobs.begin(), End);
  }
  for (auto &[Part, Jobs] : Batches)
    send(Part, Jobs);
}

void ProgressWriter::send(const std::string &Part,
                          const std::vector<ActiveJob *> &Jobs) {
  StoreTransaction Wanted;
  Batch Sent;
  std::size_t Bytes = 0;
  for (const ActiveJob *Job : Jobs) {
    StoreKey Row = progressRow(*Job);
    std::string Value = Job->progress().encode();
    Bytes += Value.size();
    if (Bytes > LargestBytes && !Sent.empty())
      break;
    Wanted.Expected_.push_back({Row, Job->progressVersion()});
    Wanted.Puts_.push_back({Row, std::move(Value)});
    Sent.emplace_back(Job->id(), Job->changes());
  }
  Parts_[Part].IsBusy_ = true;
  Pool_.Store_.transact(
      std::move(Wanted),
      [Weak = weak_from_this(), Part, Sent](const StoreTransactionResult &End) {
        if (auto Self = Weak.lock())
          Self->onEnd(Part, Sent, End);
      });
}

void ProgressWriter::onEnd(const std::string &Part, const Batch &Sent,
                           const StoreTransactionResult &End) {
  PartState &State = Parts_[Part];
  State.IsBusy_ = false;
  State.NotBefore_ = Pool_.Clock_.now() + GatherPause;
  switch (End.Outcome_) {
  case StoreOutcome::Done:
    State.MostRows_ = std::min(LargestBatch, State.MostRows_ * 2);
    onStored(Sent, End.Version_);
    break;
  case StoreOutcome::ConditionFailed:
    onConflict(Sent, End);
    break;
  default:
    // Where the outcome is unknown, the next attempt finds the row changed.
    State.NotBefore_ = Pool_.Clock_.now() + RetryPause;
    // What is too large for the store or the link must not be sent again in the
    // same size.
    State.MostRows_ = std::max<std::size_t>(1, Sent.size() / 2);
    Pool_.Logger_.write(LogLevel::Warning,
                        LogEvent("progress.unstored")
                            .with("pool", Pool_.Pool_)
                            .with("jobs", std::uint64_t{Sent.size()}));
    return;
  }
  flush();
}

void ProgressWriter::onStored(const Batch &Sent, StoreVersion Version) {
  for (const auto &[Id, Change] : Sent) {
    ActiveJob *Job = Pool_.job(Id);
    if (Job == nullptr)
      continue;
    Job->setProgressVersion(Version);
    Job->setStoredChanges(Change);
    settleEnds(*Job);
    if (isFinal(Job->progress().state()) && !Job->isDirty())
      Pool_.Logger_.write(
          LogLevel::Info,
          LogEvent("job.ended")
              .with("job", Id)
              .with("state", jobrowcodec::nameOf(Job->progress().state()))
              .with("after",
                    std::chrono::microseconds(Pool_.wallTime() -
                                              Job->stored().AcceptedAt_)));
  }
}

void ProgressWriter::onConflict(const Batch &Sent,
                                const StoreTransactionResult &End) {
  std::map<std::string, const StoreRow *> Current;
  for (const StoreRow &Row : End.Current_)
    Current[jobrows::jobOf(Row.Name_)] = &Row;
  for (const auto &[Id, Change] : Sent) {
    ActiveJob *Job = Pool_.job(Id);
    if (Job == nullptr)
      continue;
    auto Found = Current.find(Id);
    if (Found == Current.end()) {
      Job->setProgressVersion(0);
      continue;
    }
    JobProgress Read(Job->stored().Spec_);
    if (!Read.decode(Found->second->Value_)) {
      Job->setProgressVersion(Found->second->Version_);
      continue;
    }
    Job->adoptProgress(Read, Found->second->Version_);
    Runs_.updateJobState(*Job);
  }
}

void ProgressWriter::settleEnds(const ActiveJob &Job) {
  auto Ends = Pool_.PendingAcknowledgements_.find(Job.id());
  if (Ends == Pool_.PendingAcknowledgements_.end())
    return;
  std::erase_if(Ends->second, [&](const PendingAcknowledgement &End) {
    if (End.Change_ > Job.storedChanges())
      return false;
    if (WorkerSession *Session = Pool_.session(End.Worker_)) {
      Session->markEndProcessed(End.Sequence_);
      if (!Session->hasPendingEnds())
        Session->NextHoldAt_ = Pool_.Clock_.now();
    }
    return true;
  });
  if (Ends->second.empty())
    Pool_.PendingAcknowledgements_.erase(Ends);
}

} // namespace dragonflylock
