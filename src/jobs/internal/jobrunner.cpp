#include "jobs/jobrunner.h"
#include "fleet/rendezvous.h"
#include "platformservices/platformerrors.h"

namespace dragonflylock {
namespace {

/// Maximum number of jobs that one entry instance runs at a time.
constexpr std::size_t MaxRuns = 64;
/// Delay before a queued job is run again, multiplied by the number of its
/// unsuccessful runs.
constexpr std::chrono::milliseconds RetryDelay{500};

/// \returns whether the row has certainly changed since the version on which
/// the write was conditional.
bool isVersionConflict(const Error &Failure) {
  return Failure.kind() == PlatformErrc::ConditionFailed;
}

} // namespace

JobRunner::JobRunner(const std::string &Self, IJobService &Service,
                     const IClock &Clock, StartCallback Start)
    : Self_(Self), Machine_(Self), Service_(Service), Clock_(Clock),
      StartRun_(std::move(Start)) {}

void JobRunner::onRunResult(const std::string &Id, std::uint64_t Epoch,
                            JobRunResult RunResult) {
  auto Found = Runs_.find(Id);
  bool IsCurrent =
      Found != Runs_.end() && Found->second.Job_.Record_.Epoch_ == Epoch;
  if (IsCurrent)
    Found->second.Result_ = std::move(RunResult);
}

void JobRunner::runRound(const std::vector<std::string> &Members,
                         bool MayAcquire) {
  writeResults();
  renewLeases();
  if (!Service_.refresh())
    return;
  if (MayAcquire)
    acquireDueJobs(Members);
}

void JobRunner::writeResults() {
  for (auto Each = Runs_.begin(); Each != Runs_.end();) {
    Run &Entry = Each->second;
    if (!Entry.Result_) {
      ++Each;
      continue;
    }
    JobRecord Next = Machine_.finish(Entry.Job_.Record_, *Entry.Result_);
    auto Written = Service_.write(Each->first, Entry.Job_.Version_, Next);
    // If only the response was lost, the next round writes again and gets a
    // version conflict.
    if (Written || isVersionConflict(Written.error()))
      Each = Runs_.erase(Each);
    else
      ++Each;
  }
}

void JobRunner::renewLeases() {
  TimePoint Now = Clock_.now();
  for (auto Each = Runs_.begin(); Each != Runs_.end();) {
    Run &Entry = Each->second;
    if (Entry.Result_ || Now < Entry.RenewAt_) {
      ++Each;
      continue;
    }
    JobRecord Next = Machine_.renew(Entry.Job_.Record_);
    auto Written = Service_.write(Each->first, Entry.Job_.Version_, Next);
    if (!Written && isVersionConflict(Written.error())) {
      // Either an earlier renewal took effect although its response was lost,
      // or the job was cancelled or acquired by another holder. The row tells
      // which.
      auto Row = Service_.read(Each->first);
      bool IsOurs = Row && Row.value() &&
                    Row.value()->Record_.Epoch_ == Next.Epoch_ &&
                    Row.value()->Record_.State_ == JobState::Running;
      if (Row && !IsOurs) {
        Each = Runs_.erase(Each);
        continue;
      }
      if (IsOurs)
        Entry.Job_ = *Row.value();
    }
    if (Written)
      Entry.Job_ = {Next, Written.value()};
    Entry.RenewAt_ = Now + JobRenewalInterval;
    ++Each;
  }
}

void JobRunner::acquireDueJobs(const std::vector<std::string> &Members) {
  std::erase_if(LeaseObservations_, [this](const auto &Entry) {
    return !Service_.unfinishedJobs().contains(Entry.first);
  });
  for (const auto &[Id, Job] : Service_.unfinishedJobs()) {
    if (Runs_.contains(Id) || !isDue(Id, Job))
      continue;
    if (Runs_.size() >= MaxRuns || chooseMember(Id, Members) != Self_)
      continue;
    acquire(Id, Job);
  }
}

bool JobRunner::isDue(const std::string &Id, const StoredJob &Job) {
  TimePoint Now = Clock_.now();
  auto &Observed = LeaseObservations_[Id];
  if (Machine_.hasLeaseExpired(Job.Record_, Observed, Now))
    return true;
  if (Job.Record_.State_ != JobState::Queued)
    return false;
  auto Delay = RetryDelay * static_cast<int>(Job.Record_.Attempts_);
  return Now - Observed->Since_ >= Delay;
}

void JobRunner::acquire(const std::string &Id, const StoredJob &Job) {
  JobRecord Next = Machine_.acquire(Job.Record_);
  auto Written = Service_.write(Id, Job.Version_, Next);
  if (!Written) {
    // If the write took effect but its response was lost, the row names this
    // entry instance as holder without a run. The lease then expires, and the
    // job is handled like that of a lost holder.
    return;
  }
  if (JobStateMachine::hasEnded(Next))
    return;
  Run Started;
  Started.Job_ = {Next, Written.value()};
  Started.RenewAt_ = Clock_.now() + JobRenewalInterval;
  Runs_[Id] = std::move(Started);
  if (!StartRun_(Id, Next.Epoch_, Next.Request_))
    Runs_[Id].Result_ = JobRunResult{false, {}, "ring-full", "not-run"};
}

} // namespace dragonflylock
