#ifndef DRAGONFLYLOCK_TELEMETRY_METRICSHTTPHANDLER_H
#define DRAGONFLYLOCK_TELEMETRY_METRICSHTTPHANDLER_H

#include "http/ihttphandler.h"

namespace dragonflylock {

class INodeMetrics;

/// Serves the metrics at /metrics in the Prometheus text format.
class MetricsHttpHandler : public IHttpHandler {
public:
  /// \param Metrics must outlive the handler.
  explicit MetricsHttpHandler(INodeMetrics &Metrics) : Metrics_(Metrics) {}

  void handle(HttpRequest Request,
              std::shared_ptr<IHttpResponder> Responder) override;

private:
  INodeMetrics &Metrics_;
};

} // namespace dragonflylock

#endif
