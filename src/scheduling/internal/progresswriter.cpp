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

/// Most bytes of the values of one transaction, unless a single row has more.
/// The store accepts 1 MB, and a value takes up a third more there, as Base64.
constexpr std::size_t MaxTransactionBytes = 200000;
/// Delay after a transaction, in which further run ends accumulate for the next
/// one. Callers poll the state of a job far less often.
constexpr std::chrono::milliseconds BatchDelay{40};
/// Delay after a failed transaction.
constexpr std::chrono::milliseconds RetryDelay{150};

StoreKey progressRow(const ActiveJob &Job) {
  return jobrows::keyOf(Job.submission().Queue_, Job.id(),
                        JobRowKind::Progress);
}

} // namespace

void ProgressWriter::flush() {
  if (!Pool_.holdsLease())
    return;
  Pool_.Index_.refresh();
  std::map<std::string, std::vector<ActiveJob *>> Batches;
  for (const auto &[Part, Jobs] : Pool_.Index_.dirty()) {
    const PartitionState &State = Parts_[Part];
    if (Jobs.empty() || State.IsBusy_ || State.NotBefore_ > Pool_.Clock_.now())
      continue;
    auto End = std::next(Jobs.begin(), static_cast<std::ptrdiff_t>(std::min(
                                           Jobs.size(), State.MaxRows_)));
    Batches[Part].assign(Jobs.begin(), End);
  }
  for (auto &[Part, Jobs] : Batches)
    send(Part, Jobs);
}

void ProgressWriter::send(const std::string &Part,
                          const std::vector<ActiveJob *> &Jobs) {
  StoreTransaction Transaction;
  Batch Sent;
  std::size_t Bytes = 0;
  for (const ActiveJob *Job : Jobs) {
    StoreKey Row = progressRow(*Job);
    std::string Value = Job->progress().encode();
    Bytes += Value.size();
    if (Bytes > MaxTransactionBytes && !Sent.empty())
      break;
    Transaction.Expected_.push_back({Row, Job->progressVersion()});
    Transaction.Puts_.push_back({Row, std::move(Value)});
    Sent.emplace_back(Job->id(), Job->changeCount());
  }
  Parts_[Part].IsBusy_ = true;
  Pool_.Store_.transact(
      std::move(Transaction),
      [Weak = weak_from_this(), Part, Sent](const StoreTransactionResult &End) {
        if (auto Self = Weak.lock())
          Self->onResult(Part, Sent, End);
      });
}

void ProgressWriter::onResult(const std::string &Part, const Batch &Sent,
                              const StoreTransactionResult &End) {
  PartitionState &State = Parts_[Part];
  State.IsBusy_ = false;
  State.NotBefore_ = Pool_.Clock_.now() + BatchDelay;
  switch (End.Outcome_) {
  case StoreOutcome::Done:
    State.MaxRows_ = std::min(MaxBatchRows, State.MaxRows_ * 2);
    onStored(Sent, End.Version_);
    break;
  case StoreOutcome::ConditionFailed:
    onConflict(Sent, End);
    break;
  default:
    // If the outcome is unknown and the transaction took effect, the next
    // attempt fails its expectation and merges the rows.
    State.NotBefore_ = Pool_.Clock_.now() + RetryDelay;
    // A transaction that is too large for the store or the link would fail
    // again at the same size.
    State.MaxRows_ = std::max<std::size_t>(1, Sent.size() / 2);
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
    Job->setStoredChangeCount(Change);
    acknowledgeStoredEnds(*Job);
    if (isFinal(Job->progress().state()) && !Job->isDirty())
      Pool_.Logger_.write(
          LogLevel::Info,
          LogEvent("job.ended")
              .with("job", Id)
              .with("state", jobrowcodec::nameOf(Job->progress().state()))
              .with("after",
                    std::chrono::microseconds(Pool_.wallTime() -
                                              Job->submission().AcceptedAt_)));
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
    JobProgress Read(Job->submission().Spec_);
    if (!Read.decode(Found->second->Value_)) {
      Job->setProgressVersion(Found->second->Version_);
      continue;
    }
    Job->mergeProgress(Read, Found->second->Version_);
    Runs_.updateJobState(*Job);
  }
}

void ProgressWriter::acknowledgeStoredEnds(const ActiveJob &Job) {
  auto Ends = Pool_.PendingAcknowledgements_.find(Job.id());
  if (Ends == Pool_.PendingAcknowledgements_.end())
    return;
  std::erase_if(Ends->second, [&](const PendingAcknowledgement &End) {
    if (End.Change_ > Job.storedChangeCount())
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
