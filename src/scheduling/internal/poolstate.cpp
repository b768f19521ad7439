#include "scheduling/internal/poolstate.h"
#include "customers/icustomerlimits.h"
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
    supersedeEarlierLifetimes(Entry.Id_);
    assignToken(*Place->second);
    NeedsDispatch_ = true;
  }
  return *Place->second;
}

std::vector<WorkerSession *>
PoolState::lifetimesOf(const std::string &Id) const {
  std::vector<WorkerSession *> Found;
  // Lifetimes are ordered by id first.
  for (auto Each = Sessions_.lower_bound(Id);
       Each != Sessions_.end() && Each->first.starts_with(Id); ++Each)
    if (Each->second->entry().Id_ == Id)
      Found.push_back(Each->second.get());
  return Found;
}

WorkerSession *PoolState::latestOf(const std::string &Id) const {
  std::vector<WorkerSession *> Lifetimes = lifetimesOf(Id);
  auto Latest =
      std::max_element(Lifetimes.begin(), Lifetimes.end(),
                       [](const auto *Left, const auto *Right) {
                         return Left->entry().Born_ < Right->entry().Born_;
                       });
  return Latest == Lifetimes.end() ? nullptr : *Latest;
}

const WorkerSession *
PoolState::successorOf(const WorkerSession &Session) const {
  const WorkerSession *Latest = latestOf(Session.entry().Id_);
  return Latest == &Session ? nullptr : Latest;
}

void PoolState::supersedeEarlierLifetimes(const std::string &Id) {
  const WorkerSession *Latest = latestOf(Id);
  for (WorkerSession *Each : lifetimesOf(Id)) {
    if (Each == Latest)
      continue;
    Each->IsSuperseded_ = true;
    Each->HasEnded_ = true;
    Each->HasSuccessor_ = true;
  }
}

void PoolState::assignToken(WorkerSession &Session) {
  if (Session.Token_ != 0)
    return;
  const FencingToken Latest = std::max(Token_, RenewalToken_);
  for (const WorkerSession *Each : lifetimesOf(Session.entry().Id_))
    if (Each->IsTokenUsed_ && Each->Token_ >= Latest)
      return;
  Session.Token_ = Latest;
  Session.RequiredToken_ = Latest;
}

void PoolState::assignTokens() {
  for (auto &[Lifetime, Session] : Sessions_) {
    assignToken(*Session);
    if (Session->Token_ != 0 && Session->isAcknowledgementUnsettled() &&
        raiseToken(*Session))
      NeedsDispatch_ = true;
  }
}

bool PoolState::raiseToken(WorkerSession &Session) const {
  if (Session.Token_ >= RenewalToken_)
    return false;
  ++Session.Token_;
  return true;
}

void PoolState::onOrderEnded(const WorkerSession &Session,
                             OrderOutcome Outcome) {
  const bool WasRefused =
      Outcome == OrderOutcome::NotSent || Outcome == OrderOutcome::Unhealthy ||
      Outcome == OrderOutcome::Fenced || Outcome == OrderOutcome::OtherLifetime;
  if (WasRefused)
    return;
  const TimePoint LeaseEnd = latestLeaseExpiry(Clock_.now());
  for (WorkerSession *Each : lifetimesOf(Session.entry().Id_)) {
    const bool IsLater = Each->entry().Born_ > Session.entry().Born_;
    // A later lifetime that has seen its own token refuses the order.
    if (Each == &Session || (IsLater && Each->ConfirmedToken_ == 0))
      Each->recordLeaseOfUnlistedRuns(LeaseEnd);
  }
}

bool PoolState::mayHaveInheritedRuns(const WorkerSession &Session) const {
  bool WasOrdered = Session.IsInherited_ || !IsRosterKnown_;
  if (!WasOrdered || Session.IsFenced_)
    return false;
  if (!Session.HasSuccessor_)
    return !Session.HasEnded_;
  // Late orders of the previous owner may have started runs on the later
  // lifetime.
  const WorkerSession *Successor = successorOf(Session);
  return Successor == nullptr ||
         (!Successor->IsFenced_ &&
          (Successor->HasSuccessor_ || !Successor->HasEnded_));
}

bool PoolState::mayHaveUnexpiredInheritedRuns(
    const WorkerSession &Session) const {
  return Clock_.now() < InheritedRunsExpireAt_ && mayHaveInheritedRuns(Session);
}

void PoolState::onFenced(WorkerSession &Session) {
  if (!Session.IsListed_ || Session.IsSuperseded_)
    return;
  Session.Token_ = std::max(Session.Token_, RenewalToken_);
  Session.RequiredToken_ = Session.Token_;
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

bool PoolState::mayStart(const ActiveJob &Job, const Resources &PerTask,
                         std::size_t Tasks) const {
  const std::string &Customer = Job.submission().Spec_.Customer_;
  if (Limits_ == nullptr || Customer.empty())
    return true;
  const Resources Running = Usage_.of(Customer);
  return Tasks == 1 ? Limits_->mayStart(Customer, Running, PerTask)
                    : Limits_->mayStartGang(Customer, Running, PerTask, Tasks);
}

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
