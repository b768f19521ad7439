#include "operators/operatorport.h"
#include "http/ihttpresponder.h"
#include "metrics/ientrymetrics.h"
#include "operators/ientryview.h"
#include "operators/internal/operatorapi.h"
#include "operators/internal/operatorjson.h"
#include "operators/operatorstypes.h"
#include "platformservices/iplatform.h"

#include <openssl/crypto.h>

namespace dragonflylock {
namespace {

constexpr std::size_t CallRing = 64;
constexpr std::chrono::milliseconds IdleInterval{1000};

HttpAnswer plain(int Status, std::string Text) {
  return {Status, {{"Content-Type", "text/plain"}}, std::move(Text)};
}

} // namespace

OperatorPort::OperatorPort(std::shared_ptr<IPlatform> Platform,
                           const IConfigurationParser &Parser,
                           const IClock &Clock, IEntryView &View,
                           IEntryMetrics &Metrics, ITraceSink &Trace,
                           std::string Token)
    : Platform_(std::move(Platform)),
      Api_(std::make_unique<OperatorApi>(*Platform_, Parser, Clock, View,
                                         Trace)),
      View_(View), Metrics_(Metrics), Token_(std::move(Token)),
      Calls_(CallRing, Signal_) {}

OperatorPort::~OperatorPort() { stop(); }

void OperatorPort::start() {
  Thread_ = std::thread([this] { run(); });
}

void OperatorPort::stop() {
  IsStopping_ = true;
  Signal_.wake();
  if (Thread_.joinable())
    Thread_.join();
}

void OperatorPort::handle(HttpRequest Request,
                          std::shared_ptr<IHttpResponder> Responder) {
  if (answerProbe(Request, *Responder))
    return;
  if (!isAllowed(Request)) {
    Responder->answer(operatorjson::problem(
        httpstatus::Unauthorized, "token-missing",
        "the request has no valid token",
        "set DRAGONFLYLOCK_OPERATOR_TOKEN to the daemon's token"));
    return;
  }
  if (Calls_.tryPut({std::move(Request), Responder}))
    return;
  Metrics_.ringRefused("operators");
  Responder->answer(operatorjson::problem(httpstatus::Unavailable, "ring-full",
                                          "too many calls wait", "try again"));
}

bool OperatorPort::answerProbe(const HttpRequest &Request,
                               IHttpResponder &Responder) {
  if (Request.path() == "/healthz") {
    Responder.answer(plain(httpstatus::Ok, "ok\n"));
    return true;
  }
  if (Request.path() == "/readyz") {
    bool IsReady = View_.isReady();
    Responder.answer(plain(IsReady ? httpstatus::Ok : httpstatus::Unavailable,
                           IsReady ? "ready\n" : "not ready\n"));
    return true;
  }
  if (Request.path() == "/metrics") {
    Responder.answer(plain(httpstatus::Ok, Metrics_.serialize()));
    return true;
  }
  return false;
}

bool OperatorPort::isAllowed(const HttpRequest &Request) const {
  if (Token_.empty())
    return true;
  const std::string *Given = findHeader(Request.Headers_, "Authorization");
  std::string Expected = "Bearer " + Token_;
  return Given != nullptr && Given->size() == Expected.size() &&
         CRYPTO_memcmp(Given->data(), Expected.data(), Expected.size()) == 0;
}

void OperatorPort::run() {
  while (!IsStopping_) {
    Calls_.drain([this](const Call &Next) {
      Next.Responder_->answer(Api_->answer(Next.Request_));
    });
    Signal_.waitFor(IdleInterval);
  }
}

} // namespace dragonflylock
