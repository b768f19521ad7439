#ifndef DRAGONFLYLOCK_TRACE_TRACECHECKER_H
#define DRAGONFLYLOCK_TRACE_TRACECHECKER_H

#include "trace/itracerule.h"
#include "trace/traceevent.h"

#include <chrono>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

/// The first event that breaks a promise.
struct TraceViolation {
  /// Short name of the promise.
  std::string Promise_;
  std::string Detail_;
  TraceEvent Event_;
};

/// Decides the promises from recorded events alone.
class TraceChecker {
public:
  /// \param LeavingBound time after which a leaving instance receives nothing.
  explicit TraceChecker(std::chrono::milliseconds LeavingBound);

  /// Orders \p Events by time and checks them.
  /// \returns the first violation, if there is one.
  std::optional<TraceViolation> check(std::vector<TraceEvent> Events) const;

private:
  std::vector<std::unique_ptr<ITraceRule>>
  makeRules(const std::vector<TraceEvent> &Events) const;

  std::chrono::milliseconds LeavingBound_;
};

} // namespace dragonflylock

#endif
