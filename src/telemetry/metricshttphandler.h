#ifndef DRAGONFLYLOCK_TELEMETRY_METRICSHTTPHANDLER_H
#define DRAGONFLYLOCK_TELEMETRY_METRICSHTTPHANDLER_H

#include "http/ihttphandler.h"

namespace dragonflylock {

class INodeMetrics;

/// Serves the metrics at /metrics, as text.
class MetricsHttpHandler : public IHttpHandler {
public:
  /// \param Metrics must outlive the port.
  explicit MetricsHttpHandler(INodeMetrics &Metrics) : Metrics_(Metrics) {}

  void handle(HttpRequest Request,
              std::shared_ptr<IHttpResponder> Responder) override;

private:
  INodeMetrics &Metrics_;
};

} // namespace dragonflylock

#endif
