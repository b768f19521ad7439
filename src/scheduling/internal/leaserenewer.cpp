#include "scheduling/internal/leaserenewer.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/internal/dispatcher.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/internal/runtracker.h"
#include "scheduling/iworkercontrol.h"
#include "scheduling/placement.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace dragonflylock {
namespace {

/// Maximum time for which a worker delays its response to a hold order until a
/// run ends; the protocol allows 2 s.
constexpr std::chrono::milliseconds MaxHoldWait{2000};
/// The same on workers that run serving or filler tasks, whose measurements are
/// needed more often.
constexpr std::chrono::milliseconds MaxHoldWaitWatched{500};
/// Delay before the next hold order while the consequences of run ends are not
/// stored yet.
constexpr std::chrono::milliseconds PendingEndsDelay{300};
/// The same while the worker lists runs that it was told to stop.
constexpr std::chrono::milliseconds UnwantedRunsDelay{100};
/// Delay after a hold order that failed, multiplied by the number of failures
/// in a row up to a maximum.
constexpr std::chrono::milliseconds FailureDelay{150};
constexpr std::uint32_t MaxFailureDelayFactor = 4;
/// Maximum age of a worker's lists at which the same lifetime is assumed to be
/// still there.
constexpr std::chrono::milliseconds MaxListsAge{500};
/// Maximum number of run ends that a worker lists in one response.
constexpr std::size_t MaxEndsPerAnswer = 500;

} // namespace

void LeaseRenewer::tick() {
  for (auto &[Lifetime, Session] : Pool_.Sessions_) {
    releaseExpired(*Session);
    if (isHoldDue(*Session) && Pool_.holdsLease())
      sendHold(*Session);
  }
}

bool LeaseRenewer::isHoldDue(const WorkerSession &Session) const {
  if (Session.IsHoldPending_ || Session.IsSuperseded_ || Session.Token_ == 0 ||
      Session.NextHoldAt_ > Pool_.Clock_.now())
    return false;
  // The first hold, which grants no lease, need not wait for the roster.
  if (!Session.IsInRoster_ && Session.ConfirmedToken_ >= Session.RequiredToken_)
    return false;
  if (Session.HasEnded_ && !Session.IsListed_ && Session.runs().empty())
    return false;
  return !Session.IsFenced_ ||
         Session.ConfirmedToken_ < Session.RequiredToken_ ||
         !Session.runs().empty() || Session.HoldFailures_ > 0 ||
         Session.hasUnwantedRuns() || hasEndsToAcknowledge(Session) ||
         Pool_.LateStarts_.needsLists(Session);
}

std::chrono::milliseconds
LeaseRenewer::holdWaitFor(const WorkerSession &Session) const {
  if (!Session.IsFenced_ || Session.hasPendingEnds() ||
      Session.hasUnwantedRuns() || Session.HoldFailures_ > 0 ||
      Session.runs().empty())
    return std::chrono::milliseconds(0);
  if (Session.hasRunOnTrial())
    return WorkerSession::StartCrashWindow;
  for (const auto &[Name, Run] : Session.runs())
    if (Run.LatencyTarget_.count() > 0 || Run.IsFiller_)
      return MaxHoldWaitWatched;
  return MaxHoldWait;
}

void LeaseRenewer::sendHold(WorkerSession &Session) {
  const TimePoint Now = Pool_.Clock_.now();
  HoldOrder Order;
  Order.Token_ = Session.Token_;
  Order.AcknowledgedEnd_ = endToAcknowledge(Session);
  Order.Wait_ = holdWaitFor(Session);
  prepareAcknowledgement(Session, Order);
  // The lease of a worker that does not respond is not extended, so that its
  // runs expire within one lease and can be started elsewhere.
  if (Session.hasClock() && Session.HoldFailures_ == 0) {
    Order.LeaseEnd_ =
        Session.workerTimeAt(Now) + Pool_.Settings_.MaxWorkerLease_;
    Session.recordLease(Pool_.latestLeaseExpiry(Now));
  }
  Session.IsHoldPending_ = true;
  const SentHold Sent{Now, Order.Token_, Order.AcknowledgedEnd_,
                      Order.LeaseEnd_.count() > 0};
  Session.IsTokenUsed_ =
      Session.IsTokenUsed_ || Sent.GrantsLease_ || Order.AcknowledgedEnd_ > 0;
  Pool_.Workers_.hold(
      Session.target(), Order,
      [Weak = weak_from_this(), Sent,
       Lifetime = Session.entry().lifetime()](const HoldAnswer &Answer) {
        if (auto Self = Weak.lock())
          Self->onAnswer(Lifetime, Sent, Answer);
      });
}

void LeaseRenewer::prepareAcknowledgement(WorkerSession &Session,
                                          HoldOrder &Order) {
  if (std::exchange(Session.AwaitsListsOfStarts_, false))
    Pool_.NeedsDispatch_ = true;
  if (Order.AcknowledgedEnd_ > 0) {
    Session.AcknowledgingToken_ = Order.Token_;
    // Without a higher token for starts they wait for the response.
    if (!Pool_.raiseToken(Session))
      Order.Wait_ = std::chrono::milliseconds(0);
    return;
  }
  if (!hasEndsToAcknowledge(Session) || Session.HoldFailures_ > 0)
    return;
  Order.Wait_ = std::chrono::milliseconds(0);
  Session.AwaitsListsOfStarts_ = !Session.hasUnansweredStarts();
}

bool LeaseRenewer::hasEndsToAcknowledge(const WorkerSession &Session) {
  return Session.acknowledgeableUpTo() > Session.acknowledged();
}

std::uint64_t
LeaseRenewer::endToAcknowledge(const WorkerSession &Session) const {
  // A later lifetime of the same worker id numbers its run ends from the
  // beginning, so an acknowledgement meant for the earlier lifetime makes it
  // forget ends that no owner has seen. After a hold that failed, the worker
  // may have restarted; it may also have begun such runs by the starts that the
  // earlier lifetime has not listed.
  bool IsSameLifetime = Session.HoldFailures_ == 0 &&
                        Pool_.Clock_.now() < Session.LastListsAt_ + MaxListsAge;
  if (!IsSameLifetime || Session.hasUnlistedRuns())
    return 0;
  return hasEndsToAcknowledge(Session) ? Session.acknowledgeableUpTo() : 0;
}

void LeaseRenewer::settleAcknowledgement(WorkerSession &Session,
                                         const SentHold &Sent,
                                         OrderOutcome Outcome) const {
  if (Sent.Acknowledged_ == 0 || Outcome == OrderOutcome::Unknown ||
      Session.AcknowledgingToken_ != Sent.Token_)
    return;
  if (Session.isAcknowledgementUnsettled())
    Pool_.NeedsDispatch_ = true;
  Session.AcknowledgingToken_ = 0;
}

void LeaseRenewer::onAnswer(const std::string &Lifetime, const SentHold &Sent,
                            const HoldAnswer &Answer) {
  WorkerSession *Session = Pool_.session(Lifetime);
  if (Session == nullptr)
    return;
  Session->IsHoldPending_ = false;
  settleAcknowledgement(*Session, Sent, Answer.Outcome_);
  // A start that was sent after the order has overtaken it.
  if (Answer.Outcome_ == OrderOutcome::Fenced &&
      Sent.Token_ < Session->Token_) {
    Session->NextHoldAt_ = Pool_.Clock_.now();
    return;
  }
  auto Born = Session->entry().Born_;
  bool IsOtherLifetime =
      Answer.Born_.count() > 0 && Born.count() > 0 && Answer.Born_ != Born;
  bool IsAccepted =
      Answer.Outcome_ == OrderOutcome::Accepted && !IsOtherLifetime;
  if (Sent.GrantsLease_ && !IsAccepted)
    Pool_.onOrderEnded(*Session, Answer.Outcome_);
  if (IsOtherLifetime) {
    logOtherLifetime(*Session, Sent.At_, Answer.Born_);
    onHoldFailed(*Session, Sent.At_, OrderOutcome::OtherLifetime);
    Session->HasEnded_ = Answer.Born_ > Born;
    Session->HasSuccessor_ = Session->HasSuccessor_ || Session->HasEnded_;
  } else if (IsAccepted) {
    Session->setAcknowledged(
        std::max(Session->acknowledged(), Sent.Acknowledged_));
    if (Session->HasSuccessor_)
      recordEnds(*Session, Answer);
    else
      applyLists(*Session, Sent, Answer);
  } else {
    onHoldFailed(*Session, Sent.At_, Answer.Outcome_);
    // Only one worker uses an address at a time, so the earlier lifetime has
    // ended.
    if (Answer.Outcome_ == OrderOutcome::OtherLifetime)
      Session->HasEnded_ = true;
  }
}

void LeaseRenewer::applyLists(WorkerSession &Session, const SentHold &Sent,
                              const HoldAnswer &Answer) {
  const TimePoint Now = Pool_.Clock_.now();
  Session.updateClock(Answer.Clock_, Now);
  Session.LastListsAt_ = Now;
  Session.ListsRequestedAt_ = Sent.At_;
  if (!Session.IsFenced_ || Session.HoldFailures_ > 0)
    Pool_.NeedsDispatch_ = true;
  if (!Session.IsFenced_)
    Pool_.NeedsStopCheck_ = true;
  // Runs may hold a lease of full length that a previous owner granted, or an
  // order to an earlier lifetime of the id. From now on the worker refuses
  // orders of both.
  if (Session.ConfirmedToken_ < Session.RequiredToken_)
    Session.recordLease(Pool_.latestLeaseExpiry(Now));
  Session.ConfirmedToken_ = std::max(Session.ConfirmedToken_, Sent.Token_);
  Session.IsFenced_ = true;
  Session.HoldFailures_ = 0;
  Session.HasEnded_ = false;
  // The worker has outlived them.
  Session.YoungExpiredRuns_.clear();
  recordEnds(Session, Answer);
  stopUnwanted(Session, Answer);
  releaseUnlisted(Session, Sent.At_, Answer);
  Session.NextHoldAt_ = Now;
  if (Session.hasUnwantedRuns())
    Session.NextHoldAt_ = Now + UnwantedRunsDelay;
  if (Session.hasPendingEnds())
    Session.NextHoldAt_ = Now + PendingEndsDelay;
  // Starts wait for the acknowledgement.
  if (Session.AwaitsListsOfStarts_)
    Session.NextHoldAt_ = Now;
}

void LeaseRenewer::recordEnds(WorkerSession &Session,
                              const HoldAnswer &Answer) {
  std::vector<ListedEnd> Ends = Answer.Ended_;
  std::sort(Ends.begin(), Ends.end(),
            [](const ListedEnd &Left, const ListedEnd &Right) {
              return Left.Sequence_ < Right.Sequence_;
            });
  for (const ListedEnd &End : Ends)
    Runs_.onRunEnded(Session, End);
}

void LeaseRenewer::stopUnwanted(WorkerSession &Session,
                                const HoldAnswer &Answer) {
  Resources Taken;
  bool HasUnknownSize = false;
  for (const ListedRun &Run : Answer.Running_) {
    if (Runs_.onRunListed(Session, Run))
      continue;
    Dispatcher_.stop(Session, Run.Task_, Run.Run_);
    if (Session.run(Run.Task_) != nullptr)
      continue; // Counted among the runs of the session.
    const ActiveJob *Job = Pool_.job(Run.Task_.Job_);
    if (Job != nullptr && Job->progress().contains(Run.Task_))
      Taken += requiredResources(Job->step(Run.Task_));
    else
      HasUnknownSize = true;
  }
  Session.setUnwantedRuns(Taken, HasUnknownSize);
}

void LeaseRenewer::releaseUnlisted(WorkerSession &Session, TimePoint Sent,
                                   const HoldAnswer &Answer) {
  if (Answer.Ended_.size() >= MaxEndsPerAnswer)
    return;
  std::set<TaskName> Listed;
  for (const ListedRun &Run : Answer.Running_)
    Listed.insert(Run.Task_);
  std::vector<TaskName> Unlisted;
  for (const auto &[Name, Run] : Session.runs()) {
    // A start may still be in flight until the worker has responded to it or
    // its lease has expired. The response to a hold order that was sent before
    // then says nothing about the run.
    TimePoint Settled = Run.ConfirmedAt_.value_or(Run.OrderExpires_);
    if (!Listed.contains(Name) && Settled < Sent)
      Unlisted.push_back(Name);
  }
  for (const TaskName &Name : Unlisted)
    Runs_.release(Session, Name);
}

void LeaseRenewer::logOtherLifetime(const WorkerSession &Session,
                                    TimePoint Sent,
                                    std::chrono::milliseconds Born) {
  Pool_.Logger_.write(
      LogLevel::Warning,
      LogEvent("hold.answered-by-other-lifetime")
          .with("worker", Session.entry().Id_)
          .with("born",
                static_cast<std::uint64_t>(Session.entry().Born_.count()))
          .with("answered-by", static_cast<std::uint64_t>(Born.count()))
          .with("took", std::chrono::duration_cast<std::chrono::microseconds>(
                            Pool_.Clock_.now() - Sent))
          .with("runs", std::uint64_t{Session.runs().size()}));
}

void LeaseRenewer::onHoldFailed(WorkerSession &Session, TimePoint Sent,
                                OrderOutcome Outcome) {
  const TimePoint Now = Pool_.Clock_.now();
  ++Session.HoldFailures_;
  Session.NextHoldAt_ = Now + FailureDelay * std::min(Session.HoldFailures_,
                                                      MaxFailureDelayFactor);
  if (Session.HoldFailures_ == 1)
    Pool_.Logger_.write(
        LogLevel::Warning,
        LogEvent("worker.unanswered")
            .with("worker", Session.entry().Id_)
            .with("outcome", static_cast<std::uint64_t>(Outcome))
            .with("took", std::chrono::duration_cast<std::chrono::microseconds>(
                              Now - Sent))
            .with("runs", std::uint64_t{Session.runs().size()}));
  // A refusal because of a higher fencing token says nothing about this pool's
  // lease: the responder may be a later lifetime of the worker id, in another
  // pool.
  if (Outcome == OrderOutcome::Fenced)
    Pool_.onFenced(Session);
  if (Outcome != OrderOutcome::OtherLifetime)
    return;
  Session.IsListed_ = false;
  Runs_.recordCrash(Session);
  Runs_.releaseListed(Session);
}

void LeaseRenewer::releaseExpired(WorkerSession &Session) {
  const TimePoint Now = Pool_.Clock_.now();
  if (Session.runs().empty() || Now < Session.leasesExpireAt())
    return;
  const std::size_t Runs = Session.runs().size();
  std::map<TaskName, RunNumber> Young = Session.youngRuns();
  Runs_.releaseExpired(Session);
  if (Session.runs().size() == Runs)
    return;
  std::erase_if(Young, [&Session](const auto &Each) {
    return Session.runs().contains(Each.first);
  });
  Young.merge(Session.YoungExpiredRuns_);
  Session.YoungExpiredRuns_ = std::move(Young);
  Pool_.Logger_.write(
      LogLevel::Warning,
      LogEvent("worker.lapsed")
          .with("worker", Session.entry().Id_)
          .with("runs", std::uint64_t{Runs - Session.runs().size()})
          .with("in-doubt", std::uint64_t{Session.runs().size()}));
}

} // namespace dragonflylock
