#ifndef DRAGONFLYLOCK_METRICS_INTERNAL_METRICREGISTRY_H
#define DRAGONFLYLOCK_METRICS_INTERNAL_METRICREGISTRY_H

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <map>
#include <string>

namespace dragonflylock {

using MetricLabels = std::map<std::string, std::string>;
using CounterFamily = prometheus::Family<prometheus::Counter>;
using GaugeFamily = prometheus::Family<prometheus::Gauge>;
using HistogramFamily = prometheus::Family<prometheus::Histogram>;

/// Makes families of metrics that share labels.
class MetricRegistry {
public:
  explicit MetricRegistry(MetricLabels Common) : Common_(std::move(Common)) {}

  CounterFamily &counter(const char *Name, const char *Help);
  GaugeFamily &gauge(const char *Name, const char *Help);
  HistogramFamily &histogram(const char *Name, const char *Help);
  /// \returns all metrics in Prometheus' text format.
  std::string serialize() const;

private:
  MetricLabels Common_;
  prometheus::Registry Registry_;
};

/// \returns bounds of the buckets for durations, in seconds.
const prometheus::Histogram::BucketBoundaries &durationBounds();

/// \returns the duration in seconds, the unit of all metrics of time.
double metricSeconds(std::chrono::microseconds Duration);

} // namespace dragonflylock

#endif
