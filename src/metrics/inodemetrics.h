#ifndef DRAGONFLYLOCK_METRICS_INODEMETRICS_H
#define DRAGONFLYLOCK_METRICS_INODEMETRICS_H

#include <chrono>
#include <cstdint>
#include <string>

namespace dragonflylock {

struct PoolView;

/// Counts what a node that schedules jobs does; callable from any thread.
class INodeMetrics {
public:
  virtual ~INodeMetrics() = default;
  /// Counts a caller's request.
  /// \param Method of HTTP.
  /// \param Status of the answer.
  /// \param Took from its arrival to its answer.
  virtual void callerAnswered(const std::string &Method, int Status,
                              std::chrono::microseconds Took) = 0;
  /// Counts a call to an outside system.
  /// \param System "store", "worker" or "machines".
  /// \param Call what was asked for.
  /// \param Outcome how it ended.
  virtual void called(const std::string &System, const std::string &Call,
                      const std::string &Outcome,
                      std::chrono::microseconds Took) = 0;
  /// Counts a wait of the node's own work.
  /// \param Place where it waited.
  virtual void waited(const std::string &Place,
                      std::chrono::microseconds Time) = 0;
  /// Counts an event of the log.
  virtual void eventLogged(const std::string &Event) = 0;
  /// States which configuration is in force.
  /// \param Age for which a newer one may have been stored.
  virtual void configurationSeen(std::uint64_t Version,
                                 std::chrono::milliseconds Age) = 0;
  /// States what the owner of a pool knows of it.
  virtual void poolSeen(const PoolView &Pool) = 0;
  /// Forgets a pool that the node does not own any more.
  virtual void poolLost(const std::string &Pool) = 0;
  /// \returns all metrics in Prometheus' text format.
  virtual std::string serialize() = 0;
};

} // namespace dragonflylock

#endif
