#include "standinendpoint/endpointhandler.h"
#include "global/digest.h"
#include "global/units.h"
#include "http/ihttpresponder.h"
#include "trace/traceevent.h"

#include <nlohmann/json.hpp>

namespace dragonflylock {
namespace {

using Json = nlohmann::json;

std::uint64_t numberIn(const HttpRequest &Request, const char *Name) {
  const std::string *Text = findHeader(Request.Headers_, Name);
  if (Text == nullptr)
    return 0;
  auto Number = parseNumber(*Text);
  return Number ? Number.value() : 0;
}

std::string textIn(const HttpRequest &Request, const char *Name) {
  const std::string *Text = findHeader(Request.Headers_, Name);
  return Text == nullptr ? std::string() : *Text;
}

bool take(std::uint64_t &Count) {
  if (Count == 0)
    return false;
  --Count;
  return true;
}

HttpAnswer json(const Json &Body) {
  return {httpstatus::Ok, {{"Content-Type", "application/json"}}, Body.dump()};
}

} // namespace

EndpointHandler::EndpointHandler(std::string Id, std::size_t Slots,
                                 ITraceSink &Trace)
    : Id_(std::move(Id)), Slots_(Slots), Trace_(Trace) {}

void EndpointHandler::handle(HttpRequest Request,
                             std::shared_ptr<IHttpResponder> Responder) {
  if (Request.path().starts_with("/_standin/")) {
    Responder->answer(control(Request));
    return;
  }
  recordRead(Request);
  switch (nextFault()) {
  case Fault::None:
    admit({std::move(Request), std::move(Responder)});
    return;
  case Fault::Close:
    Responder->abort();
    return;
  case Fault::Cut: {
    HttpAnswer Cut{httpstatus::Ok, {{"Content-Length", "1000"}}, "cut"};
    Responder->answerShort(std::move(Cut));
    return;
  }
  case Fault::Hang: {
    std::lock_guard Lock(Mutex_);
    Hanging_.push_back(std::move(Responder));
    return;
  }
  case Fault::Fail:
    Responder->answer({httpstatus::InternalError, {}, "failed on purpose\n"});
    return;
  }
}

HttpAnswer EndpointHandler::control(const HttpRequest &Request) {
  std::lock_guard Lock(Mutex_);
  if (Request.path() == "/_standin/record")
    return json({{"read", Record_}, {"most_running", MostRunning_}});
  Json Wanted = Json::parse(Request.Body_, nullptr, false);
  if (Request.path() != "/_standin/faults" || !Wanted.is_object())
    return {httpstatus::NotFound, {}, {}};
  Faults_.Close_ = Wanted.value("close", 0U);
  Faults_.Cut_ = Wanted.value("cut", 0U);
  Faults_.Hang_ = Wanted.value("hang", 0U);
  Faults_.Fail_ = Wanted.value("fail", 0U);
  return json(Json::object());
}

void EndpointHandler::recordRead(const HttpRequest &Request) {
  TraceEvent Event;
  Event.Kind_ = TraceKind::Ran;
  Event.Request_ = textIn(Request, "Dragonflylock-Request-Id");
  Event.Instance_ = Id_;
  Event.IsIdempotent_ = isIdempotentMethod(Request.Method_);
  Trace_.record(std::move(Event));
  std::lock_guard Lock(Mutex_);
  Record_.push_back(textIn(Request, "X-Load-Id"));
}

EndpointHandler::Fault EndpointHandler::nextFault() {
  std::lock_guard Lock(Mutex_);
  if (take(Faults_.Close_))
    return Fault::Close;
  if (take(Faults_.Cut_))
    return Fault::Cut;
  if (take(Faults_.Hang_))
    return Fault::Hang;
  if (take(Faults_.Fail_))
    return Fault::Fail;
  return Fault::None;
}

void EndpointHandler::admit(Job Next) {
  {
    std::lock_guard Lock(Mutex_);
    if (Running_ >= Slots_) {
      Waiting_.push_back(std::move(Next));
      return;
    }
    ++Running_;
    MostRunning_ = std::max(MostRunning_, Running_);
  }
  start(std::move(Next));
}

void EndpointHandler::start(Job Next) {
  std::chrono::milliseconds Work(numberIn(Next.Request_, "X-Work-Ms"));
  if (Work.count() == 0) {
    finish(Next);
    return;
  }
  auto Shared = std::make_shared<Job>(std::move(Next));
  Delayed_.run(Work, [this, Shared] { finish(*Shared); });
}

void EndpointHandler::finish(const Job &Done) {
  Done.Responder_->answer(answerTo(Done.Request_));
  Job Next;
  {
    std::lock_guard Lock(Mutex_);
    if (Waiting_.empty()) {
      --Running_;
      return;
    }
    Next = std::move(Waiting_.front());
    Waiting_.pop_front();
  }
  start(std::move(Next));
}

HttpAnswer EndpointHandler::answerTo(const HttpRequest &Request) const {
  HttpAnswer Answer{httpstatus::Ok, {}, {}};
  Answer.Headers_ = {{"Content-Type", "text/plain"},
                     {"X-Load-Id", textIn(Request, "X-Load-Id")},
                     {"X-Instance", Id_}};
  Answer.Body_ = textIn(Request, "X-Load-Id") + "\n";
  std::size_t Wanted = numberIn(Request, "X-Answer-Bytes");
  if (Wanted > Answer.Body_.size())
    Answer.Body_.append(Wanted - Answer.Body_.size(), '.');
  return Answer;
}

} // namespace dragonflylock
