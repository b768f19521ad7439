#include "metrics/internal/prometheusmetrics.h"
#include "metrics/internal/metricregistry.h"

namespace dragonflylock {

struct PrometheusMetrics::Families {
  explicit Families(const MetricLabels &Common)
      : Registry_(Common),
        Requests_(Registry_.counter("dragonflylock_requests_total",
                                    "Requests that ended, by pool and result")),
        Offers_(Registry_.counter("dragonflylock_offers_total",
                                  "Offers to endpoints, by pool")),
        Refused_(Registry_.counter("dragonflylock_ring_refused_total",
                                   "Entries that a full ring refused")),
        PlatformFailures_(
            Registry_.counter("dragonflylock_platform_failures_total",
                              "Failed calls to the platform")),
        WholeTime_(Registry_.histogram("dragonflylock_request_seconds",
                                       "Time from arrival to answer")),
        Wait_(Registry_.histogram("dragonflylock_wait_seconds",
                                  "Time from arrival to the first offer")),
        Version_(Registry_.gauge("dragonflylock_configuration_version",
                                 "Configuration version in force")),
        Peers_(Registry_.gauge("dragonflylock_live_peers",
                               "Peers heard of lately")),
        Active_(Registry_.gauge("dragonflylock_active_requests",
                                "Requests that have not ended, by stage")) {}

  MetricRegistry Registry_;
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
    : Families_(std::make_unique<Families>(
          MetricLabels{{"entry", Name}, {"zone", Zone}})) {}

PrometheusMetrics::~PrometheusMetrics() = default;

void PrometheusMetrics::requestEnded(const std::string &Pool,
                                     const std::string &Result,
                                     std::chrono::microseconds WholeTime) {
  Families_->Requests_.Add({{"pool", Pool}, {"result", Result}}).Increment();
  Families_->WholeTime_.Add({{"pool", Pool}}, durationBounds())
      .Observe(metricSeconds(WholeTime));
}

void PrometheusMetrics::requestWaited(const std::string &Pool,
                                      std::chrono::microseconds Wait) {
  Families_->Wait_.Add({{"pool", Pool}}, durationBounds())
      .Observe(metricSeconds(Wait));
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
  return Families_->Registry_.serialize();
}

} // namespace dragonflylock
