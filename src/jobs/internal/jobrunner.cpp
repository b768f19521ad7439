#include "jobs/jobrunner.h"
#include "fleet/rendezvous.h"
#include "platformservices/platformerrors.h"

namespace dragonflylock {
namespace {

/// Runs of jobs that one entry instance has at a time.
constexpr std::size_t MostRuns = 64;
/// Pause before a job is offered again, for each time it was in vain.
constexpr std::chrono::milliseconds RetryPause{500};

/// \returns whether the row has certainly moved on from the version written.
bool isOvertaken(const Error &Failure) {
  return Failure.kind() == PlatformErrc::ConditionFailed;
}

} // namespace

JobRunner::JobRunner(const std::string &Self, IJobService &Service,
                     const IClock &Clock, Starter Start)
    : Self_(Self), Machine_(Self), Service_(Service), Clock_(Clock),
      Start_(std::move(Start)) {}

void JobRunner::onRunEnd(const std::string &Id, std::uint64_t Epoch,
                         JobRunEnd End) {
  auto Found = Runs_.find(Id);
  bool IsCurrent =
      Found != Runs_.end() && Found->second.Job_.Record_.Epoch_ == Epoch;
  if (IsCurrent)
    Found->second.End_ = std::move(End);
}

void JobRunner::runRound(const std::vector<std::string> &Members,
                         bool MayTakeUp) {
  writeEnds();
  renewLeases();
  if (!Service_.refresh())
    return;
  if (MayTakeUp)
    takeUpDue(Members);
}

void JobRunner::writeEnds() {
  for (auto Each = Runs_.begin(); Each != Runs_.end();) {
    Run &Entry = Each->second;
    if (!Entry.End_) {
      ++Each;
      continue;
    }
    JobRecord Next = Machine_.finish(Entry.Job_.Record_, *Entry.End_);
    auto Written = Service_.write(Each->first, Entry.Job_.Version_, Next);
    // A lost answer is settled by the next try, whose condition then fails.
    if (Written || isOvertaken(Written.error()))
      Each = Runs_.erase(Each);
    else
      ++Each;
  }
}

void JobRunner::renewLeases() {
  TimePoint Now = Clock_.now();
  for (auto Each = Runs_.begin(); Each != Runs_.end();) {
    Run &Entry = Each->second;
    if (Entry.End_ || Now < Entry.RenewAt_) {
      ++Each;
      continue;
    }
    JobRecord Next = Machine_.renew(Entry.Job_.Record_);
    auto Written = Service_.write(Each->first, Entry.Job_.Version_, Next);
    if (!Written && isOvertaken(Written.error())) {
      // Our own write whose answer was lost, or a cancellation or another
      // holder: what the row says decides.
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
    Entry.RenewAt_ = Now + JobRenewal;
    ++Each;
  }
}

void JobRunner::takeUpDue(const std::vector<std::string> &Members) {
  std::erase_if(Seen_, [this](const auto &Entry) {
    return !Service_.open().contains(Entry.first);
  });
  for (const auto &[Id, Job] : Service_.open()) {
    if (Runs_.contains(Id) || !isDue(Id, Job))
      continue;
    if (Runs_.size() >= MostRuns || chooseMember(Id, Members) != Self_)
      continue;
    takeUp(Id, Job);
  }
}

bool JobRunner::isDue(const std::string &Id, const StoredJob &Job) {
  TimePoint Now = Clock_.now();
  auto &Seen = Seen_[Id];
  if (Machine_.isHolderGone(Job.Record_, Seen, Now))
    return true;
  if (Job.Record_.State_ != JobState::Queued)
    return false;
  auto Pause = RetryPause * static_cast<int>(Job.Record_.Attempts_);
  return Now - Seen->Since_ >= Pause;
}

void JobRunner::takeUp(const std::string &Id, const StoredJob &Job) {
  JobRecord Next = Machine_.takeUp(Job.Record_);
  auto Written = Service_.write(Id, Job.Version_, Next);
  if (!Written) {
    // The row may name us now without a run; it is then taken up again
    // once its lease has passed.
    return;
  }
  if (JobMachine::hasEnded(Next))
    return;
  Run Started;
  Started.Job_ = {Next, Written.value()};
  Started.RenewAt_ = Clock_.now() + JobRenewal;
  Runs_[Id] = std::move(Started);
  if (!Start_(Id, Next.Epoch_, Next.Request_))
    Runs_[Id].End_ = JobRunEnd{false, {}, "ring-full", "not-run"};
}

} // namespace dragonflylock
