#include "entry/internal/callerport.h"
#include "entry/internal/decisionloop.h"
#include "entry/internal/failureanswer.h"
#include "entry/internal/jobworker.h"
#include "http/ihttpresponder.h"
#include "metrics/ientrymetrics.h"

namespace dragonflylock {

CallerPort::CallerPort(DecisionLoop &Loop, JobWorker &Jobs, const IClock &Clock,
                       IEntryMetrics &Metrics)
    : Loop_(Loop), Jobs_(Jobs), Clock_(Clock), Metrics_(Metrics) {}

void CallerPort::handle(HttpRequest Request,
                        std::shared_ptr<IHttpResponder> Responder) {
  bool IsForJobs = JobWorker::isForJobs(Request);
  CallerEvent Event{std::move(Request), Responder, Clock_.now()};
  bool IsTaken = IsForJobs ? Jobs_.onCaller(std::move(Event))
                           : Loop_.onCaller(std::move(Event));
  if (IsTaken)
    return;
  Metrics_.ringRefused("callers");
  Responder->answer(failureAnswer(RoutingErrc::RingFull, Outcome::NotRun, {}));
}

} // namespace dragonflylock
