#include "entry/internal/callerport.h"
#include "entry/internal/decisionloop.h"
#include "entry/internal/failureanswer.h"
#include "http/ihttpresponder.h"
#include "metrics/ientrymetrics.h"

namespace dragonflylock {

CallerPort::CallerPort(DecisionLoop &Loop, const IClock &Clock,
                       IEntryMetrics &Metrics)
    : Loop_(Loop), Clock_(Clock), Metrics_(Metrics) {}

void CallerPort::handle(HttpRequest Request,
                        std::shared_ptr<IHttpResponder> Responder) {
  CallerEvent Event{std::move(Request), Responder, Clock_.now()};
  if (Loop_.onCaller(std::move(Event)))
    return;
  Metrics_.ringRefused("callers");
  Responder->answer(failureAnswer(RoutingErrc::RingFull, Outcome::NotRun, {}));
}

} // namespace dragonflylock
