#include "entry/internal/actionrunner.h"
#include "entry/internal/failureanswer.h"
#include "entry/internal/iclaimworker.h"
#include "forward/forwardtypes.h"
#include "forward/iendpointclient.h"
#include "global/digest.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "http/ihttpresponder.h"
#include "metrics/ientrymetrics.h"
#include "trace/itracesink.h"
#include "trace/traceevent.h"

#include <deque>

namespace dragonflylock {
namespace {

std::chrono::microseconds micros(TimePoint From, TimePoint To) {
  return std::chrono::duration_cast<std::chrono::microseconds>(To - From);
}

} // namespace

ActionRunner::ActionRunner(RequestEngine &Engine, Ports Used)
    : Engine_(Engine), Ports_(Used) {}

Exchange &ActionRunner::open(RequestId Id) { return Exchanges_[Id]; }

Exchange *ActionRunner::find(RequestId Id) {
  auto Found = Exchanges_.find(Id);
  return Found == Exchanges_.end() ? nullptr : &Found->second;
}

void ActionRunner::run(RequestEngine::Actions Actions) {
  std::deque<RoutingAction> Waiting(std::make_move_iterator(Actions.begin()),
                                    std::make_move_iterator(Actions.end()));
  while (!Waiting.empty()) {
    RoutingAction Next = std::move(Waiting.front());
    Waiting.pop_front();
    auto Following = std::visit(
        [this](const auto &Action) { return carryOut(Action); }, Next);
    Waiting.insert(Waiting.end(), std::make_move_iterator(Following.begin()),
                   std::make_move_iterator(Following.end()));
  }
}

RequestEngine::Actions ActionRunner::carryOut(const OfferAction &Action) {
  Exchange &Entry = Exchanges_.at(Action.Id_);
  TimePoint Now = Ports_.Clock_.now();
  if (Entry.OfferedAt_ == TimePoint()) {
    Entry.OfferedAt_ = Now;
    Ports_.Metrics_.requestWaited(Entry.Pool_, micros(Entry.ArrivedAt_, Now));
  }
  Entry.Instance_ = Action.Instance_;
  // The trace precedes the act, so that an act is never without its record.
  TraceEvent Event;
  Event.Kind_ = TraceKind::Offered;
  Event.Request_ = Entry.RequestId_;
  Event.Key_ = Entry.Key_;
  Event.Instance_ = Action.Instance_;
  Event.Pool_ = Entry.Pool_;
  Event.IsIdempotent_ = Action.IsIdempotent_;
  Event.Number_ = Action.Attempt_;
  Ports_.Trace_.record(std::move(Event));
  if (Ports_.Endpoints_.offer({Action, Entry.Request_})) {
    Ports_.Metrics_.offered(Entry.Pool_, Action.Attempt_ > 1);
    return {};
  }
  Ports_.Metrics_.ringRefused("forward");
  OfferResult End{Action.Id_, Action.Attempt_, false, AnswerFault::Lost, 0};
  return Engine_.onOfferResult(Now, End);
}

RequestEngine::Actions ActionRunner::carryOut(const RelayAction &Action) {
  Exchange &Entry = Exchanges_.at(Action.Id_);
  HttpAnswer Answer = std::move(Entry.Answer_);
  const std::string *Length = findHeader(Answer.Headers_, "Content-Length");
  bool IsHead = Entry.Request_->Method_ == "HEAD";
  HttpHeaders Kept = withoutHopByHop(Answer.Headers_);
  if (IsHead && Length != nullptr)
    Kept.push_back({"Content-Length", *Length});
  Kept.push_back({headers::RequestId, Entry.RequestId_});
  Answer.Headers_ = std::move(Kept);
  close(Action.Id_, std::move(Answer), "answered", {});
  return {};
}

RequestEngine::Actions ActionRunner::carryOut(const ReplayAction &Action) {
  Exchange &Entry = Exchanges_.at(Action.Id_);
  HttpAnswer Answer = std::move(Entry.Answer_);
  Answer.Headers_.push_back({headers::RequestId, Entry.RequestId_});
  Answer.Headers_.push_back({headers::Replayed, "true"});
  close(Action.Id_, std::move(Answer), "replayed", {});
  return {};
}

RequestEngine::Actions ActionRunner::carryOut(const FailAction &Action) {
  Exchange &Entry = Exchanges_.at(Action.Id_);
  std::error_code Kind = Action.Kind_;
  close(Action.Id_,
        failureAnswer(Action.Kind_, Action.Outcome_, Entry.RequestId_),
        Kind.message(), nameOf(Action.Outcome_));
  return {};
}

RequestEngine::Actions ActionRunner::carryOut(const ClaimAction &Action) {
  ClaimCommand Command{Action.Id_, Action.Claim_, Action.Deadline_};
  if (Ports_.Claims_.submit(std::move(Command)))
    return {};
  Ports_.Metrics_.ringRefused("claims");
  return Engine_.onClaimResult(Ports_.Clock_.now(), Action.Id_,
                               ClaimOutcome::Unavailable);
}

RequestEngine::Actions ActionRunner::carryOut(const SettleClaimAction &Action) {
  ClaimSettlement Settlement;
  Settlement.Request_ = Action.Id_;
  switch (Action.Kind_) {
  case SettleClaimAction::Kind::KeepAnswer:
    Settlement.Phase_ = ClaimPhase::Answered;
    Settlement.Answer_ = Exchanges_.at(Action.Id_).Answer_;
    Settlement.Answer_.Headers_ = withoutHopByHop(Settlement.Answer_.Headers_);
    break;
  case SettleClaimAction::Kind::RecordUnknown:
    Settlement.Phase_ = ClaimPhase::Unknown;
    break;
  case SettleClaimAction::Kind::Release:
    break;
  }
  // A settlement that is lost leaves the claim in place, so that repeats
  // learn "unknown" and the request still runs at most once.
  if (!Ports_.Claims_.submit(std::move(Settlement)))
    Ports_.Metrics_.ringRefused("claims");
  return {};
}

void ActionRunner::close(RequestId Id, HttpAnswer Answer,
                         const std::string &Result,
                         const std::string &Outcome) {
  Exchange &Entry = Exchanges_.at(Id);
  TimePoint Now = Ports_.Clock_.now();
  auto WholeTime = micros(Entry.ArrivedAt_, Now);
  Ports_.Metrics_.requestEnded(Entry.Pool_, Result, WholeTime);
  TraceEvent Event;
  Event.Kind_ = TraceKind::Answered;
  Event.Request_ = Entry.RequestId_;
  Event.Key_ = Entry.Key_;
  Event.Instance_ = Entry.Instance_;
  Event.Pool_ = Entry.Pool_;
  Event.Result_ = Result;
  Event.Outcome_ = Outcome;
  if (Outcome.empty())
    Event.Digest_ = digestOf({Answer.Body_});
  Ports_.Trace_.record(std::move(Event));
  LogEvent Line("request.ended");
  Line.with("request", Entry.RequestId_)
      .with("pool", Entry.Pool_)
      .with("path", Entry.Request_->path())
      .with("instance", Entry.Instance_)
      .with("result", Result)
      .with("outcome", Outcome.empty() ? "answered" : Outcome)
      .with("status", static_cast<std::uint64_t>(Answer.Status_))
      .with("duration", WholeTime);
  Ports_.Logger_.write(Outcome.empty() ? LogLevel::Info : LogLevel::Warning,
                       Line);
  Entry.Responder_->answer(std::move(Answer));
  Exchanges_.erase(Id);
}

} // namespace dragonflylock
