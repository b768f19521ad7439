#ifndef DRAGONFLYLOCK_METRICS_IENTRYMETRICS_H
#define DRAGONFLYLOCK_METRICS_IENTRYMETRICS_H

#include <chrono>
#include <cstdint>
#include <string>

namespace dragonflylock {

/// Counts what an entry instance does; callable from any thread.
class IEntryMetrics {
public:
  virtual ~IEntryMetrics() = default;
  /// Counts a request that ended.
  /// \param Result "answered", "replayed" or the kind of failure.
  /// \param WholeTime from arrival to answer.
  virtual void requestEnded(const std::string &Pool, const std::string &Result,
                            std::chrono::microseconds WholeTime) = 0;
  /// Counts the time a request waited before its first offer.
  virtual void requestWaited(const std::string &Pool,
                             std::chrono::microseconds Wait) = 0;
  /// Counts an offer to an endpoint.
  virtual void offered(const std::string &Pool, bool IsRetry) = 0;
  /// Counts an entry that a full ring refused.
  virtual void ringRefused(const std::string &Ring) = 0;
  /// Counts a failed call to the platform.
  virtual void platformFailed() = 0;
  /// States the configuration version in force.
  virtual void configurationVersion(std::uint64_t Version) = 0;
  /// States the number of peers heard of lately.
  virtual void livePeers(std::uint64_t Count) = 0;
  /// States the requests that have not ended and those that wait for a slot.
  virtual void activeRequests(std::uint64_t Active, std::uint64_t Queued) = 0;
  /// \returns all metrics in Prometheus' text format.
  virtual std::string serialize() = 0;
};

} // namespace dragonflylock

#endif
