#include "telemetry/metricshttphandler.h"
#include "http/httptypes.h"
#include "http/ihttpresponder.h"
#include "metrics/inodemetrics.h"

namespace dragonflylock {

void MetricsHttpHandler::handle(HttpRequest Request,
                                std::shared_ptr<IHttpResponder> Responder) {
  HttpAnswer Answer;
  Answer.Status_ = httpstatus::NotFound;
  if (Request.Method_ == "GET" && Request.path() == "/metrics") {
    Answer.Status_ = httpstatus::Ok;
    Answer.Headers_ = {{"Content-Type", "text/plain; version=0.0.4"}};
    Answer.Body_ = Metrics_.serialize();
  }
  Responder->answer(std::move(Answer));
}

} // namespace dragonflylock
