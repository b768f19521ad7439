#ifndef DRAGONFLYLOCK_METRICS_INTERNAL_PROMETHEUSNODEMETRICS_H
#define DRAGONFLYLOCK_METRICS_INTERNAL_PROMETHEUSNODEMETRICS_H

#include "metrics/inodemetrics.h"

#include <memory>

namespace dragonflylock {

/// Metrics of a node by prometheus-cpp.
class PrometheusNodeMetrics : public INodeMetrics {
public:
  /// \param Node, Zone label every metric.
  PrometheusNodeMetrics(const std::string &Node, const std::string &Zone);
  ~PrometheusNodeMetrics() override;

  void callerAnswered(const std::string &Method, int Status,
                      std::chrono::microseconds Took) override;
  void called(const std::string &System, const std::string &Call,
              const std::string &Outcome,
              std::chrono::microseconds Took) override;
  void waited(const std::string &Place,
              std::chrono::microseconds Time) override;
  void eventLogged(const std::string &Event) override;
  void configurationSeen(std::uint64_t Version,
                         std::chrono::milliseconds Age) override;
  void poolSeen(const PoolView &Pool) override;
  void poolLost(const std::string &Pool) override;
  std::string serialize() override;

private:
  struct Families;
  std::unique_ptr<Families> Families_;
};

} // namespace dragonflylock

#endif
