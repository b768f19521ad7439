#ifndef DRAGONFLYLOCK_TELEMETRY_WAITMETER_H
#define DRAGONFLYLOCK_TELEMETRY_WAITMETER_H

#include "global/iclock.h"
#include "global/iwaitobserver.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>

namespace dragonflylock {

class ILogger;
class INodeMetrics;

/// Records how long work waits for the node's own threads. Every wait is
/// recorded in the metrics; if a wait reaches a threshold, the longest wait and
/// the number of waits at each place are logged, at most once a second.
class WaitMeter : public IWaitObserver {
public:
  /// \param Metrics, Logger, Clock must outlive this object.
  WaitMeter(INodeMetrics &Metrics, ILogger &Logger, const IClock &Clock)
      : Metrics_(Metrics), Logger_(Logger), Clock_(Clock) {}

  void waited(WaitPlace Place, std::chrono::microseconds Time) override;
  /// Logs the waits since the previous interval if one of them reached the
  /// threshold. Must be called regularly.
  void tick();

private:
  struct WaitStatistics {
    std::chrono::microseconds MaxTime_{0};
    std::uint64_t Count_ = 0;
  };
  static constexpr std::size_t PlaceCount = 3;

  INodeMetrics &Metrics_;
  ILogger &Logger_;
  const IClock &Clock_;
  std::mutex Mutex_;
  std::array<WaitStatistics, PlaceCount> Statistics_;
  TimePoint NextLogAt_;
};

} // namespace dragonflylock

#endif
