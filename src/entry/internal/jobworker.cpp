#include "entry/internal/jobworker.h"
#include "configuration/fleetconfiguration.h"
#include "entry/internal/jobanswers.h"
#include "global/digest.h"
#include "http/ihttpresponder.h"
#include "operators/ientryview.h"
#include "operators/operatorstypes.h"
#include "platformservices/iplatform.h"

namespace dragonflylock {
namespace {

constexpr std::size_t OrderRing = 1024;
constexpr std::size_t EndRing = 1024;
constexpr std::chrono::milliseconds Interval{500};
constexpr std::chrono::milliseconds SnapshotLimit{2000};
constexpr std::size_t JobIdBytes = 16;
/// Bytes of a request that fit into a row.
constexpr std::size_t LargestRequest = 256U << 10U;
/// Attempts of a cancellation against the job's holder.
constexpr int MaxRaces = 5;

std::string valueOf(const HttpRequest &Request, const char *Name) {
  const std::string *Found = findHeader(Request.Headers_, Name);
  return Found == nullptr ? std::string() : *Found;
}

/// \returns the request without what concerns the order alone.
HttpRequest withoutOrder(const HttpRequest &Order) {
  HttpRequest Request = Order;
  Request.Headers_ = withoutHopByHop(Order.Headers_);
  std::erase_if(Request.Headers_, [](const HttpHeader &Header) {
    HttpHeaders One{Header};
    return findHeader(One, "Prefer") != nullptr ||
           findHeader(One, "Idempotency-Key") != nullptr;
  });
  return Request;
}

} // namespace

/// Receives the answer of a job's run in place of a caller.
class JobWorker::RunResponder : public IHttpResponder {
public:
  RunResponder(JobWorker &Worker, std::string Id, std::uint64_t Epoch)
      : Worker_(Worker), Id_(std::move(Id)), Epoch_(Epoch) {}
  void answer(HttpAnswer Answer) override {
    Worker_.EndedRuns_.put({Id_, Epoch_, std::move(Answer)},
                           Worker_.IsStopping_);
  }
  void answerShort(HttpAnswer Answer) override { answer(std::move(Answer)); }
  void abort() override {}

private:
  JobWorker &Worker_;
  std::string Id_;
  std::uint64_t Epoch_;
};

JobWorker::JobWorker(std::string Name, std::shared_ptr<IPlatform> Platform,
                     const IClock &Clock, IEntryView &View, Submitter Submit)
    : Name_(std::move(Name)), Platform_(std::move(Platform)), Clock_(Clock),
      View_(View), Submit_(std::move(Submit)), Orders_(OrderRing, Signal_),
      EndedRuns_(EndRing, Signal_), Service_(*Platform_, Clock),
      Runner_(Name_, Service_, Clock,
              [this](const std::string &Id, std::uint64_t Epoch,
                     HttpRequest Request) {
                return startRun(Id, Epoch, std::move(Request));
              }) {}

JobWorker::~JobWorker() { stop(std::chrono::milliseconds::zero()); }

bool JobWorker::isForJobs(const HttpRequest &Request) {
  return Request.path().starts_with(Path) ||
         valueOf(Request, "Prefer").find("respond-async") != std::string::npos;
}

void JobWorker::start() {
  Thread_ = std::thread([this] { run(); });
}

void JobWorker::stop(std::chrono::milliseconds Longest) {
  IsDraining_ = true;
  auto GiveUpAt = std::chrono::steady_clock::now() + Longest;
  while (OwnRuns_ > 0 && std::chrono::steady_clock::now() < GiveUpAt)
    std::this_thread::sleep_for(Interval / 10);
  IsStopping_ = true;
  Signal_.wake();
  if (Thread_.joinable())
    Thread_.join();
}

void JobWorker::run() {
  while (!IsStopping_) {
    Orders_.drain([this](const CallerEvent &Order) {
      Order.Responder_->answer(answerTo(Order.Request_));
    });
    EndedRuns_.drain([this](EndedRun Ended) {
      Runner_.onRunResult(Ended.Id_, Ended.Epoch_,
                          jobanswers::runEndFrom(std::move(Ended.Answer_)));
    });
    auto Snapshot = View_.snapshot(SnapshotLimit);
    std::vector<std::string> Members{Name_};
    if (Snapshot) {
      for (const Heartbeat &Peer : Snapshot.value().Peers_) {
        if (Peer.IsReady_)
          Members.push_back(Peer.Name_);
      }
    }
    Runner_.runRound(Members, !IsDraining_ && View_.isReady());
    OwnRuns_ = Runner_.unfinishedRuns();
    Signal_.waitFor(Interval);
  }
}

bool JobWorker::startRun(const std::string &Id, std::uint64_t Epoch,
                         HttpRequest Request) {
  auto Responder = std::make_shared<RunResponder>(*this, Id, Epoch);
  return Submit_({std::move(Request), std::move(Responder), Clock_.now()});
}

HttpAnswer JobWorker::answerTo(const HttpRequest &Order) {
  std::string Target(Order.path());
  if (!Target.starts_with(Path))
    return create(Order);
  std::string Id = Target.substr(std::string(Path).size());
  return Order.Method_ == "DELETE" ? cancel(Id) : show(Id);
}

HttpAnswer JobWorker::create(const HttpRequest &Order) {
  auto Snapshot = View_.snapshot(SnapshotLimit);
  const FleetConfiguration *Fleet =
      Snapshot ? Snapshot.value().Configuration_.get() : nullptr;
  if (Fleet == nullptr)
    return jobanswers::refused(httpstatus::Unavailable, "no-configuration",
                               "retry when /readyz answers 200");
  const Route *Found = Fleet->findRoute(Order.path());
  if (Found == nullptr)
    return jobanswers::refused(httpstatus::NotFound, "no-route",
                               "correct the path or add a route to a pool");
  if (Order.Body_.size() > LargestRequest)
    return jobanswers::refused(httpstatus::ContentTooLarge, "body-too-large",
                               "order jobs of at most 256KiB");
  JobRecord Wanted;
  Wanted.Request_ = withoutOrder(Order);
  Wanted.Fingerprint_ = digestOf({Order.Method_, Order.Target_, Order.Body_});
  Wanted.IsIdempotent_ =
      Found->Idempotent_.value_or(isIdempotentMethod(Order.Method_));
  std::string Key = valueOf(Order, "Idempotency-Key");
  // A repeat with the same key finds the job that the first order made.
  std::string Id = Key.empty()
                       ? randomId(JobIdBytes)
                       : digestOf({valueOf(Order, "Authorization"), Key});
  auto Stored = Service_.create(Id, Wanted);
  if (!Stored)
    return jobanswers::unavailable(Stored.error());
  if (Stored.value().Record_.Fingerprint_ != Wanted.Fingerprint_)
    return jobanswers::refused(httpstatus::UnprocessableContent, "key-reused",
                               "use a new Idempotency-Key for a new request");
  return jobanswers::accepted(Id, Stored.value().Record_.State_);
}

HttpAnswer JobWorker::show(const std::string &Id) {
  auto Found = Service_.read(Id);
  if (!Found)
    return jobanswers::unavailable(Found.error());
  if (!Found.value())
    return jobanswers::refused(httpstatus::NotFound, "no-such-job",
                               "check the Location of the order");
  return jobanswers::stateOf(Id, Found.value()->Record_);
}

HttpAnswer JobWorker::cancel(const std::string &Id) {
  JobStateMachine Machine(Name_);
  for (int Race = 0; Race < MaxRaces; ++Race) {
    auto Found = Service_.read(Id);
    if (!Found)
      return jobanswers::unavailable(Found.error());
    if (!Found.value())
      return jobanswers::refused(httpstatus::NotFound, "no-such-job",
                                 "check the Location of the order");
    auto Cancelled = Machine.cancel(Found.value()->Record_);
    if (!Cancelled)
      return jobanswers::stateOf(Id, Found.value()->Record_);
    if (Service_.write(Id, Found.value()->Version_, *Cancelled))
      return jobanswers::stateOf(Id, *Cancelled);
  }
  return jobanswers::refused(httpstatus::Conflict, "job-is-changing",
                             "ask for the job and cancel it again");
}

} // namespace dragonflylock
