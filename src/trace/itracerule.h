#ifndef DRAGONFLYLOCK_TRACE_ITRACERULE_H
#define DRAGONFLYLOCK_TRACE_ITRACERULE_H

#include <optional>
#include <string>

namespace dragonflylock {

struct TraceEvent;

/// Decides one promise from the events of a trace.
class ITraceRule {
public:
  virtual ~ITraceRule() = default;
  /// \returns the promise's short name.
  virtual const char *name() const = 0;
  /// Takes in the next event in the order of time.
  /// \returns what the event breaks, if it breaks the promise.
  virtual std::optional<std::string> observe(const TraceEvent &Event) = 0;
};

} // namespace dragonflylock

#endif
