#include "scheduling/internal/poolstate.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/runnumbers.h"

#include <algorithm>

namespace dragonflylock {
namespace {

/// Time allowed for an order to reach the worker.
constexpr std::chrono::milliseconds OrderTransitMargin{100};
constexpr int Percent = 100;

} // namespace

bool PoolState::holdsLease() const {
  return Clock_.now() < LeaseEnd_ - Settings_.LeaseMargin_;
}

bool PoolState::isRunNumberReserved(RunNumber Number) {
  const RunNumber Last = runnumbers::lastOf(ReservedRunNumberRange_);
  const std::uint64_t Needed =
      runnumbers::rangeOf(Number + runnumbers::RangeSize / 2);
  if (Needed > RequestedRunNumberRange_) {
    RequestedRunNumberRange_ = Needed;
    Logger_.write(LogLevel::Info, LogEvent("run-numbers.requested")
                                      .with("pool", Pool_)
                                      .with("token", Token_)
                                      .with("run", Number)
                                      .with("reserved-up-to", Last)
                                      .with("range", Needed));
  }
  return Number <= Last;
}

WorkerSession &PoolState::findOrCreateSession(const WorkerEntry &Entry) {
  auto [Place, IsNew] = Sessions_.try_emplace(Entry.lifetime(), nullptr);
  if (IsNew) {
    Place->second = std::make_unique<WorkerSession>(Entry);
    // Until the worker has answered, it may be executing runs that a previous
    // owner started.
    Place->second->recordLease(InheritedRunsExpireAt_);
    NeedsDispatch_ = true;
  }
  return *Place->second;
}

bool PoolState::mayHaveInheritedRuns(const WorkerSession &Session) const {
  bool WasOrdered = Session.IsInherited_ || !IsRosterKnown_;
  return WasOrdered && !Session.IsFenced_ && !Session.HasEnded_;
}

bool PoolState::mayHaveUnexpiredInheritedRuns(
    const WorkerSession &Session) const {
  return Clock_.now() < InheritedRunsExpireAt_ && mayHaveInheritedRuns(Session);
}

void PoolState::onFenced(const WorkerSession &Session) {
  if (Session.IsListed_)
    OrderToken_ = std::max(OrderToken_, RenewalToken_);
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

const QueuePolicy &PoolState::policyOf(const ActiveJob &Job) const {
  const QueueSetting *Found =
      Configuration_ ? Configuration_->queue(Job.submission().Queue_) : nullptr;
  return Found != nullptr ? *Found : Job.submission().Policy_;
}

TimePoint PoolState::latestLeaseExpiry(TimePoint Now) const {
  return Now + Settings_.MaxWorkerLease_ +
         Settings_.MaxWorkerLease_ * WorkerSession::ClockDriftPercent /
             Percent +
         OrderTransitMargin;
}

std::chrono::milliseconds PoolState::wallTime() const {
  return std::chrono::milliseconds(millisecondsSinceEpoch(Clock_.wallNow()));
}

} // namespace dragonflylock
