#ifndef DRAGONFLYLOCK_ENTRY_INTERNAL_CALLERPORT_H
#define DRAGONFLYLOCK_ENTRY_INTERNAL_CALLERPORT_H

#include "http/ihttphandler.h"

namespace dragonflylock {

class DecisionLoop;
class IClock;
class IEntryMetrics;
class JobWorker;

/// Passes callers' requests to the deciding thread, and orders of jobs to
/// theirs.
class CallerPort : public IHttpHandler {
public:
  /// All must outlive the port.
  CallerPort(DecisionLoop &Loop, JobWorker &Jobs, const IClock &Clock,
             IEntryMetrics &Metrics);
  void handle(HttpRequest Request,
              std::shared_ptr<IHttpResponder> Responder) override;

private:
  DecisionLoop &Loop_;
  JobWorker &Jobs_;
  const IClock &Clock_;
  IEntryMetrics &Metrics_;
};

} // namespace dragonflylock

#endif
