#include "scheduling/internal/holdkeeper.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/internal/dispatcher.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/internal/runbook.h"
#include "scheduling/iworkercontrol.h"

#include <algorithm>
#include <set>

namespace dragonflylock {
namespace {

/// Longest wait of a worker for an end; the protocol allows 2 s.
constexpr std::chrono::milliseconds LongestWait{2000};
/// Wait on workers whose serving tasks are watched.
constexpr std::chrono::milliseconds WatchedWait{500};
/// Pause before the next hold while ends wait to be stored.
constexpr std::chrono::milliseconds UnstoredPause{300};
/// Pauses after a hold without an answer.
constexpr std::chrono::milliseconds FailurePause{150};
constexpr std::uint32_t MostFailurePauses = 4;
/// Age of a worker's lists up to which the same lifetime is taken to be there.
constexpr std::chrono::milliseconds FreshLists{500};
/// Ends that a worker lists at most in one answer.
constexpr std::size_t EndsPerAnswer = 500;

} // namespace

void HoldKeeper::tick() {
  for (auto &[Lifetime, Session] : Pool_.Sessions_) {
    releaseLapsed(*Session);
    if (isDue(*Session) && Pool_.holdsLease())
      send(*Session);
  }
}

bool HoldKeeper::isDue(const WorkerSession &Session) const {
  if (Session.IsHolding_ || Session.IsOver_ || !Session.IsInRoster_ ||
      Session.NextHold_ > Pool_.Clock_.now())
    return false;
  if (Session.HasEnded_ && !Session.IsListed_ && Session.runs().empty())
    return false;
  return !Session.IsFenced_ || !Session.runs().empty() ||
         Session.HoldFailures_ > 0 ||
         Session.acknowledgeable() > Session.acknowledged();
}

std::chrono::milliseconds
HoldKeeper::waitOf(const WorkerSession &Session) const {
  if (!Session.IsFenced_ || Session.hasUnsettledEnds() ||
      Session.HoldFailures_ > 0 || Session.runs().empty())
    return std::chrono::milliseconds(0);
  for (const auto &[Name, Run] : Session.runs())
    if (Run.LatencyTarget_.count() > 0 || Run.IsFiller_)
      return WatchedWait;
  return LongestWait;
}

void HoldKeeper::send(WorkerSession &Session) {
  const TimePoint Now = Pool_.Clock_.now();
  HoldOrder Order;
  Order.Token_ = Pool_.Token_;
  Order.AcknowledgedEnd_ = acknowledgementOf(Session);
  Order.Wait_ = waitOf(Session);
  // A worker that does not answer gets no longer lease, so that its runs lapse
  // within one lease and can be started elsewhere.
  if (Session.knowsClock() && Session.HoldFailures_ == 0) {
    Order.LeaseEnd_ = Session.clockAt(Now) + Pool_.Settings_.MaxWorkerLease_;
    Session.noteLease(Pool_.latestLeaseExpiry(Now));
  }
  Session.IsHolding_ = true;
  Pool_.Workers_.hold(
      Session.target(), Order,
      [Weak = weak_from_this(), Now, Acknowledged = Order.AcknowledgedEnd_,
       Lifetime = Session.entry().lifetime()](const HoldAnswer &Answer) {
        if (auto Self = Weak.lock())
          Self->onAnswer(Lifetime, Now, Acknowledged, Answer);
      });
}

std::uint64_t
HoldKeeper::acknowledgementOf(const WorkerSession &Session) const {
  std::uint64_t Settled = Session.acknowledgeable();
  // A later lifetime of the same id numbers its ends anew and would forget
  // ends that nobody has seen. It takes longer than this to come up.
  bool IsSameLifetime = Pool_.Clock_.now() < Session.LastLists_ + FreshLists;
  return Settled > Session.acknowledged() && IsSameLifetime ? Settled : 0;
}

void HoldKeeper::onAnswer(const std::string &Lifetime, TimePoint Sent,
                          std::uint64_t Acknowledged,
                          const HoldAnswer &Answer) {
  WorkerSession *Session = Pool_.session(Lifetime);
  if (Session == nullptr)
    return;
  Session->IsHolding_ = false;
  auto Born = Session->entry().Born_;
  bool IsOther =
      Answer.Born_.count() > 0 && Born.count() > 0 && Answer.Born_ != Born;
  if (IsOther) {
    onFailure(*Session, OrderOutcome::OtherLifetime);
    Session->HasEnded_ = Answer.Born_ > Born;
  } else if (Answer.Outcome_ == OrderOutcome::Accepted) {
    Session->setAcknowledged(std::max(Session->acknowledged(), Acknowledged));
    onLists(*Session, Sent, Answer);
  } else {
    onFailure(*Session, Answer.Outcome_);
    // An address has one worker at a time.
    if (Answer.Outcome_ == OrderOutcome::OtherLifetime)
      Session->HasEnded_ = true;
  }
}

void HoldKeeper::onLists(WorkerSession &Session, TimePoint Sent,
                         const HoldAnswer &Answer) {
  const TimePoint Now = Pool_.Clock_.now();
  Session.noteClock(Answer.Clock_, Now);
  Session.LastLists_ = Now;
  if (!Session.IsFenced_ || Session.HoldFailures_ > 0)
    Pool_.NeedsDispatch_ = true;
  if (!Session.IsFenced_)
    Pool_.NeedsStopCheck_ = true;
  // What an earlier owner started may hold a lease of full length.
  if (!Session.IsFenced_)
    Session.noteLease(Pool_.latestLeaseExpiry(Now));
  Session.IsFenced_ = true;
  Session.HoldFailures_ = 0;
  Session.HasEnded_ = false;
  std::vector<ListedEnd> Ends = Answer.Ended_;
  std::sort(Ends.begin(), Ends.end(),
            [](const ListedEnd &Left, const ListedEnd &Right) {
              return Left.Sequence_ < Right.Sequence_;
            });
  for (const ListedEnd &End : Ends)
    Runs_.onEnd(Session, End);
  for (const ListedRun &Run : Answer.Running_)
    if (!Runs_.onListed(Session, Run))
      Starts_.stop(Session, Run.Task_, Run.Run_);
  dropVanished(Session, Sent, Answer);
  Session.NextHold_ = Now;
  if (Session.hasUnsettledEnds())
    Session.NextHold_ = Now + UnstoredPause;
}

void HoldKeeper::dropVanished(WorkerSession &Session, TimePoint Sent,
                              const HoldAnswer &Answer) {
  if (Answer.Ended_.size() >= EndsPerAnswer)
    return;
  std::set<TaskName> Listed;
  for (const ListedRun &Run : Answer.Running_)
    Listed.insert(Run.Task_);
  std::vector<TaskName> Vanished;
  for (const auto &[Name, Run] : Session.runs()) {
    // A start may still be on its way until it has been answered or its lease
    // has ended; an answer to an earlier hold says nothing of it.
    TimePoint Settled = Run.ConfirmedAt_.value_or(Run.OrderExpires_);
    if (!Listed.contains(Name) && Settled < Sent)
      Vanished.push_back(Name);
  }
  for (const TaskName &Name : Vanished)
    Runs_.release(Session, Name);
}

void HoldKeeper::onFailure(WorkerSession &Session, OrderOutcome Outcome) {
  const TimePoint Now = Pool_.Clock_.now();
  ++Session.HoldFailures_;
  Session.NextHold_ =
      Now + FailurePause * std::min(Session.HoldFailures_, MostFailurePauses);
  if (Session.HoldFailures_ == 1)
    Pool_.Logger_.write(
        LogLevel::Warning,
        LogEvent("worker.unanswered")
            .with("worker", Session.entry().Id_)
            .with("outcome", static_cast<std::uint64_t>(Outcome))
            .with("runs", std::uint64_t{Session.runs().size()}));
  // A refusal for a higher token says nothing of the pool's lease: the worker
  // may be a later lifetime of the id, in another pool.
  if (Outcome != OrderOutcome::OtherLifetime)
    return;
  Session.IsListed_ = false;
  Runs_.releaseDead(Session);
}

void HoldKeeper::releaseLapsed(WorkerSession &Session) {
  if (Session.runs().empty() || Pool_.Clock_.now() < Session.lapsesAt())
    return;
  Pool_.Logger_.write(LogLevel::Warning,
                      LogEvent("worker.lapsed")
                          .with("worker", Session.entry().Id_)
                          .with("runs", std::uint64_t{Session.runs().size()}));
  Runs_.releaseAll(Session);
}

} // namespace dragonflylock
