#include "metrics/internal/prometheusnodemetrics.h"
#include "metrics/internal/metricregistry.h"
#include "scheduling/poolview.h"

#include <mutex>

namespace dragonflylock {

struct PrometheusNodeMetrics::Families {
  explicit Families(const MetricLabels &Common)
      : Registry_(Common),
        Answers_(Registry_.counter("dragonflylock_caller_answers_total",
                                   "Answers to callers, by method and status")),
        AnswerTime_(
            Registry_.histogram("dragonflylock_caller_answer_seconds",
                                "Time from a caller's request to its answer")),
        Calls_(Registry_.counter(
            "dragonflylock_calls_total",
            "Calls to outside systems, by system, call and outcome")),
        CallTime_(Registry_.histogram("dragonflylock_call_seconds",
                                      "Time of calls to outside systems")),
        WaitTime_(Registry_.histogram(
            "dragonflylock_wait_seconds",
            "Time for which work waited for the node's own threads")),
        Events_(Registry_.counter("dragonflylock_events_total",
                                  "Events of the log, by name")),
        ConfigurationVersion_(
            Registry_
                .gauge("dragonflylock_configuration_version",
                       "Version of the configuration in force")
                .Add({})),
        ConfigurationAge_(
            Registry_
                .gauge("dragonflylock_configuration_age_seconds",
                       "Time for which a newer configuration may be stored")
                .Add({})),
        Pools_(Registry_.gauge("dragonflylock_pool",
                               "Figures of the pools that this node owns")) {}

  MetricRegistry Registry_;
  CounterFamily &Answers_;
  HistogramFamily &AnswerTime_;
  CounterFamily &Calls_;
  HistogramFamily &CallTime_;
  HistogramFamily &WaitTime_;
  CounterFamily &Events_;
  prometheus::Gauge &ConfigurationVersion_;
  prometheus::Gauge &ConfigurationAge_;
  GaugeFamily &Pools_;
  std::mutex Mutex_;
  /// Gauges by pool, to be removed with it.
  std::map<std::string, std::map<std::string, prometheus::Gauge *>> PoolGauges_;
};

PrometheusNodeMetrics::PrometheusNodeMetrics(const std::string &Node,
                                             const std::string &Zone)
    : Families_(std::make_unique<Families>(
          MetricLabels{{"node", Node}, {"zone", Zone}})) {}

PrometheusNodeMetrics::~PrometheusNodeMetrics() = default;

void PrometheusNodeMetrics::callerAnswered(const std::string &Method,
                                           int Status,
                                           std::chrono::microseconds Took) {
  Families_->Answers_
      .Add({{"method", Method}, {"status", std::to_string(Status)}})
      .Increment();
  Families_->AnswerTime_.Add({{"method", Method}}, durationBounds())
      .Observe(metricSeconds(Took));
}

void PrometheusNodeMetrics::called(const std::string &System,
                                   const std::string &Call,
                                   const std::string &Outcome,
                                   std::chrono::microseconds Took) {
  Families_->Calls_
      .Add({{"system", System}, {"call", Call}, {"outcome", Outcome}})
      .Increment();
  Families_->CallTime_
      .Add({{"system", System}, {"call", Call}}, durationBounds())
      .Observe(metricSeconds(Took));
}

void PrometheusNodeMetrics::waited(const std::string &Place,
                                   std::chrono::microseconds Time) {
  Families_->WaitTime_.Add({{"place", Place}}, durationBounds())
      .Observe(metricSeconds(Time));
}

void PrometheusNodeMetrics::eventLogged(const std::string &Event) {
  Families_->Events_.Add({{"event", Event}}).Increment();
}

void PrometheusNodeMetrics::configurationSeen(std::uint64_t Version,
                                              std::chrono::milliseconds Age) {
  Families_->ConfigurationVersion_.Set(static_cast<double>(Version));
  Families_->ConfigurationAge_.Set(metricSeconds(Age));
}

void PrometheusNodeMetrics::poolSeen(const PoolView &Pool) {
  const std::map<std::string, double> Figures = {
      {"token", static_cast<double>(Pool.Token_)},
      {"lease_left_ms", static_cast<double>(Pool.LeaseLeft_.count())},
      {"jobs", static_cast<double>(Pool.Jobs_)},
      {"runs", static_cast<double>(Pool.Runs_)},
      {"waiting_tasks", static_cast<double>(Pool.WaitingTasks_)},
      {"workers", static_cast<double>(Pool.Workers_)},
      {"free_cpu_millis", static_cast<double>(Pool.Free_.CpuMillis_)},
      {"cpu_millis", static_cast<double>(Pool.Total_.CpuMillis_)},
      {"free_memory_mb", static_cast<double>(Pool.Free_.MemoryMb_)},
      {"missing_machines", static_cast<double>(Pool.MissingMachines_)},
      {"coming_machines", static_cast<double>(Pool.IncomingMachines_)}};
  std::lock_guard<std::mutex> Lock(Families_->Mutex_);
  auto &Gauges = Families_->PoolGauges_[Pool.Pool_];
  for (const auto &[Figure, Value] : Figures) {
    prometheus::Gauge *&Gauge = Gauges[Figure];
    if (Gauge == nullptr)
      Gauge =
          &Families_->Pools_.Add({{"pool", Pool.Pool_}, {"figure", Figure}});
    Gauge->Set(Value);
  }
}

void PrometheusNodeMetrics::poolLost(const std::string &Pool) {
  std::lock_guard<std::mutex> Lock(Families_->Mutex_);
  for (const auto &[Figure, Gauge] : Families_->PoolGauges_[Pool])
    Families_->Pools_.Remove(Gauge);
  Families_->PoolGauges_.erase(Pool);
}

std::string PrometheusNodeMetrics::serialize() {
  return Families_->Registry_.serialize();
}

} // namespace dragonflylock
