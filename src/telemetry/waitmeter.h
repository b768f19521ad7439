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

/// Tells how late a node's own threads are: every wait goes into the metrics,
/// and the longest of each second into the log where it is worth a line.
class WaitMeter : public IWaitObserver {
public:
  /// \param Metrics, Logger, Clock must outlive this object.
  WaitMeter(INodeMetrics &Metrics, ILogger &Logger, const IClock &Clock)
      : Metrics_(Metrics), Logger_(Logger), Clock_(Clock) {}

  void waited(WaitPlace Place, std::chrono::microseconds Time) override;
  /// Writes the line of the second that has passed; to be called regularly.
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
