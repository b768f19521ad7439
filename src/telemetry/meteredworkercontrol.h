#ifndef DRAGONFLYLOCK_TELEMETRY_METEREDWORKERCONTROL_H
#define DRAGONFLYLOCK_TELEMETRY_METEREDWORKERCONTROL_H

#include "scheduling/iworkercontrol.h"

#include <string>

namespace dragonflylock {

class INodeMetrics;

/// Forwards orders to workers and records their outcome and duration.
class MeteredWorkerControl : public IWorkerControl {
public:
  /// \param Inner, Metrics must outlive this object.
  MeteredWorkerControl(IWorkerControl &Inner, INodeMetrics &Metrics)
      : Inner_(Inner), Metrics_(Metrics) {}

  void start(const WorkerTarget &Target, const StartOrder &Order,
             OrderCallback Done) override;
  void stop(const WorkerTarget &Target, const TaskName &Task, RunNumber Run,
            FencingToken Token, OrderCallback Done) override;
  void hold(const WorkerTarget &Target, const HoldOrder &Order,
            HoldCallback Done) override;
  void pace(const WorkerTarget &Target, const TaskName &Task, RunNumber Run,
            std::uint32_t Percent, FencingToken Token,
            OrderCallback Done) override;

private:
  OrderCallback metered(const char *Call, OrderCallback Done);

  IWorkerControl &Inner_;
  INodeMetrics &Metrics_;
};

} // namespace dragonflylock

#endif
