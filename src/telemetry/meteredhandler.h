#ifndef DRAGONFLYLOCK_TELEMETRY_METEREDHANDLER_H
#define DRAGONFLYLOCK_TELEMETRY_METEREDHANDLER_H

#include "http/ihttphandler.h"

namespace dragonflylock {

class INodeMetrics;

/// Forwards requests to another handler and records the status and duration of
/// the responses that it sends with answer().
class MeteredHandler : public IHttpHandler {
public:
  /// \param Inner, Metrics must outlive this object and the responses to all
  ///   requests.
  MeteredHandler(IHttpHandler &Inner, INodeMetrics &Metrics)
      : Inner_(Inner), Metrics_(Metrics) {}

  void handle(HttpRequest Request,
              std::shared_ptr<IHttpResponder> Responder) override;

private:
  IHttpHandler &Inner_;
  INodeMetrics &Metrics_;
};

} // namespace dragonflylock

#endif
