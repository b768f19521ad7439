#include "scheduling/internal/poolstate.h"

namespace dragonflylock {
namespace {

/// Time that an order may take to arrive.
constexpr std::chrono::milliseconds LapseMargin{100};
constexpr int Percent = 100;
/// Attempts of a task whose queue is no longer configured.
constexpr std::uint32_t DefaultAttempts = 4;

} // namespace

bool PoolState::mayAct() const {
  return Clock_.now() < LeaseEnd_ - Settings_.LeaseMargin_;
}

WorkerSession &PoolState::meet(const WorkerEntry &Entry) {
  auto [Place, IsNew] = Sessions_.try_emplace(Entry.lifetime(), nullptr);
  if (IsNew) {
    Place->second = std::make_unique<WorkerSession>(Entry);
    // Until the worker has been asked it may run what an earlier owner
    // started there.
    Place->second->noteLease(InheritedLapse_);
    NeedsDispatch_ = true;
  }
  return *Place->second;
}

bool PoolState::mayRunInherited(const WorkerSession &Session) const {
  bool WasOrdered = Session.IsInherited_ || !IsRosterKnown_;
  return WasOrdered && !Session.IsFenced_ && !Session.HasEnded_;
}

void PoolState::addJob(std::unique_ptr<ActiveJob> Job) {
  Index_.add(*Job);
  std::string Id = Job->id();
  Jobs_.emplace(std::move(Id), std::move(Job));
}

void PoolState::removeJob(ActiveJob &Job) {
  Index_.remove(Job);
  Jobs_.erase(std::string(Job.id()));
}

ActiveJob *PoolState::job(const std::string &Id) { return Index_.find(Id); }

WorkerSession *PoolState::session(const std::string &Lifetime) {
  auto Found = Sessions_.find(Lifetime);
  return Found == Sessions_.end() ? nullptr : Found->second.get();
}

WorkerSession *PoolState::sessionOn(const std::string &Machine) {
  for (auto &[Lifetime, Session] : Sessions_)
    if (Session->IsListed_ && Session->entry().Machine_ == Machine)
      return Session.get();
  return nullptr;
}

const QueueSetting &PoolState::queueOf(const ActiveJob &Job) const {
  static const QueueSetting Removed = [] {
    QueueSetting Setting;
    Setting.MaxFailedRuns_ = DefaultAttempts;
    return Setting;
  }();
  const QueueSetting *Found =
      Configuration_ ? Configuration_->queue(Job.submission().Queue_) : nullptr;
  return Found != nullptr ? *Found : Removed;
}

TimePoint PoolState::surelyLapsed(TimePoint Now) const {
  return Now + Settings_.LongestHold_ +
         Settings_.LongestHold_ * WorkerSession::ClockDriftPercent / Percent +
         LapseMargin;
}

std::chrono::milliseconds PoolState::wallTime() const {
  return std::chrono::milliseconds(millisecondsSinceEpoch(Clock_.wallNow()));
}

} // namespace dragonflylock
