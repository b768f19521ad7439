#include "telemetry/meteredhandler.h"
#include "http/httptypes.h"
#include "http/ihttpresponder.h"
#include "metrics/inodemetrics.h"
#include "telemetry/internal/stopwatch.h"

namespace dragonflylock {
namespace {

class MeteredResponder : public IHttpResponder {
public:
  MeteredResponder(std::shared_ptr<IHttpResponder> Inner, std::string Method,
                   INodeMetrics &Metrics)
      : Inner_(std::move(Inner)), Method_(std::move(Method)),
        Metrics_(Metrics) {}

  void answer(HttpAnswer Answer) override {
    Metrics_.callerAnswered(Method_, Answer.Status_, Watch_.elapsed());
    Inner_->answer(std::move(Answer));
  }
  void answerShort(HttpAnswer Answer) override {
    Inner_->answerShort(std::move(Answer));
  }
  void abort() override { Inner_->abort(); }

private:
  std::shared_ptr<IHttpResponder> Inner_;
  std::string Method_;
  INodeMetrics &Metrics_;
  Stopwatch Watch_;
};

} // namespace

void MeteredHandler::handle(HttpRequest Request,
                            std::shared_ptr<IHttpResponder> Responder) {
  auto Metered = std::make_shared<MeteredResponder>(std::move(Responder),
                                                    Request.Method_, Metrics_);
  Inner_.handle(std::move(Request), std::move(Metered));
}

} // namespace dragonflylock
