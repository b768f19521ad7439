#ifndef DRAGONFLYLOCK_METRICS_INTERNAL_PROMETHEUSMETRICS_H
#define DRAGONFLYLOCK_METRICS_INTERNAL_PROMETHEUSMETRICS_H

#include "metrics/ientrymetrics.h"

#include <memory>

namespace dragonflylock {

/// Metrics by prometheus-cpp.
class PrometheusMetrics : public IEntryMetrics {
public:
  /// \param Name, Zone label every metric.
  PrometheusMetrics(const std::string &Name, const std::string &Zone);
  ~PrometheusMetrics() override;

  void requestEnded(const std::string &Pool, const std::string &Result,
                    std::chrono::microseconds WholeTime) override;
  void requestWaited(const std::string &Pool,
                     std::chrono::microseconds Wait) override;
  void offered(const std::string &Pool, bool IsRetry) override;
  void ringRefused(const std::string &Ring) override;
  void platformFailed() override;
  void configurationVersion(std::uint64_t Version) override;
  void livePeers(std::uint64_t Count) override;
  void activeRequests(std::uint64_t Active, std::uint64_t Queued) override;
  std::string serialize() override;

private:
  struct Families;
  std::unique_ptr<Families> Families_;
};

} // namespace dragonflylock

#endif
