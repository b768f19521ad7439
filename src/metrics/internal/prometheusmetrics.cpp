#include "metrics/internal/prometheusmetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace dragonflylock {
namespace {

using Labels = std::map<std::string, std::string>;
using CounterFamily = prometheus::Family<prometheus::Counter>;
using GaugeFamily = prometheus::Family<prometheus::Gauge>;
using HistogramFamily = prometheus::Family<prometheus::Histogram>;

const prometheus::Histogram::BucketBoundaries &durationBounds() {
  static const prometheus::Histogram::BucketBoundaries Bounds{
      0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
      0.2,    0.5,   1,     2,     5,    10,   30,   60};
  return Bounds;
}

double seconds(std::chrono::microseconds Duration) {
  return std::chrono::duration<double>(Duration).count();
}

} // namespace

struct PrometheusMetrics::Families {
  explicit Families(const Labels &Common)
      : Requests_(counter(Common, "dragonflylock_requests_total",
                          "Requests that ended, by pool and result")),
        Offers_(counter(Common, "dragonflylock_offers_total",
                        "Offers to endpoints, by pool")),
        Refused_(counter(Common, "dragonflylock_ring_refused_total",
                         "Entries that a full ring refused")),
        PlatformFailures_(counter(Common,
                                  "dragonflylock_platform_failures_total",
                                  "Failed calls to the platform")),
        WholeTime_(histogram(Common, "dragonflylock_request_seconds",
                             "Time from arrival to answer")),
        Wait_(histogram(Common, "dragonflylock_wait_seconds",
                        "Time from arrival to the first offer")),
        Version_(gauge(Common, "dragonflylock_configuration_version",
                       "Configuration version in force")),
        Peers_(
            gauge(Common, "dragonflylock_live_peers", "Peers heard of lately")),
        Active_(gauge(Common, "dragonflylock_active_requests",
                      "Requests that have not ended, by stage")) {}

  CounterFamily &counter(const Labels &Common, const char *Name,
                         const char *Help) {
    return prometheus::BuildCounter()
        .Name(Name)
        .Help(Help)
        .Labels(Common)
        .Register(Registry_);
  }
  GaugeFamily &gauge(const Labels &Common, const char *Name, const char *Help) {
    return prometheus::BuildGauge()
        .Name(Name)
        .Help(Help)
        .Labels(Common)
        .Register(Registry_);
  }
  HistogramFamily &histogram(const Labels &Common, const char *Name,
                             const char *Help) {
    return prometheus::BuildHistogram()
        .Name(Name)
        .Help(Help)
        .Labels(Common)
        .Register(Registry_);
  }

  prometheus::Registry Registry_;
  CounterFamily &Requests_;
  CounterFamily &Offers_;
  CounterFamily &Refused_;
  CounterFamily &PlatformFailures_;
  HistogramFamily &WholeTime_;
  HistogramFamily &Wait_;
  GaugeFamily &Version_;
  GaugeFamily &Peers_;
  GaugeFamily &Active_;
};

PrometheusMetrics::PrometheusMetrics(const std::string &Name,
                                     const std::string &Zone)
    : Families_(
          std::make_unique<Families>(Labels{{"entry", Name}, {"zone", Zone}})) {
}

PrometheusMetrics::~PrometheusMetrics() = default;

void PrometheusMetrics::requestEnded(const std::string &Pool,
                                     const std::string &Result,
                                     std::chrono::microseconds WholeTime) {
  Families_->Requests_.Add({{"pool", Pool}, {"result", Result}}).Increment();
  Families_->WholeTime_.Add({{"pool", Pool}}, durationBounds())
      .Observe(seconds(WholeTime));
}

void PrometheusMetrics::requestWaited(const std::string &Pool,
                                      std::chrono::microseconds Wait) {
  Families_->Wait_.Add({{"pool", Pool}}, durationBounds())
      .Observe(seconds(Wait));
}

void PrometheusMetrics::offered(const std::string &Pool, bool IsRetry) {
  Families_->Offers_.Add({{"pool", Pool}, {"retry", IsRetry ? "yes" : "no"}})
      .Increment();
}

void PrometheusMetrics::ringRefused(const std::string &Ring) {
  Families_->Refused_.Add({{"ring", Ring}}).Increment();
}

void PrometheusMetrics::platformFailed() {
  Families_->PlatformFailures_.Add({}).Increment();
}

void PrometheusMetrics::configurationVersion(std::uint64_t Version) {
  Families_->Version_.Add({}).Set(static_cast<double>(Version));
}

void PrometheusMetrics::livePeers(std::uint64_t Count) {
  Families_->Peers_.Add({}).Set(static_cast<double>(Count));
}

void PrometheusMetrics::activeRequests(std::uint64_t Active,
                                       std::uint64_t Queued) {
  Families_->Active_.Add({{"stage", "all"}}).Set(static_cast<double>(Active));
  Families_->Active_.Add({{"stage", "queued"}})
      .Set(static_cast<double>(Queued));
}

std::string PrometheusMetrics::serialize() {
  return prometheus::TextSerializer().Serialize(Families_->Registry_.Collect());
}

} // namespace dragonflylock
