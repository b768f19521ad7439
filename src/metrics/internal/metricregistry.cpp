#include "metrics/internal/metricregistry.h"

#include <prometheus/text_serializer.h>

namespace dragonflylock {

CounterFamily &MetricRegistry::counter(const char *Name, const char *Help) {
  return prometheus::BuildCounter()
      .Name(Name)
      .Help(Help)
      .Labels(Common_)
      .Register(Registry_);
}

GaugeFamily &MetricRegistry::gauge(const char *Name, const char *Help) {
  return prometheus::BuildGauge()
      .Name(Name)
      .Help(Help)
      .Labels(Common_)
      .Register(Registry_);
}

HistogramFamily &MetricRegistry::histogram(const char *Name, const char *Help) {
  return prometheus::BuildHistogram()
      .Name(Name)
      .Help(Help)
      .Labels(Common_)
      .Register(Registry_);
}

std::string MetricRegistry::serialize() const {
  return prometheus::TextSerializer().Serialize(Registry_.Collect());
}

const prometheus::Histogram::BucketBoundaries &durationBounds() {
  static const prometheus::Histogram::BucketBoundaries Bounds{
      0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
      0.2,    0.5,   1,     2,     5,    10,   30,   60};
  return Bounds;
}

double metricSeconds(std::chrono::microseconds Duration) {
  return std::chrono::duration<double>(Duration).count();
}

} // namespace dragonflylock
