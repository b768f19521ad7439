#ifndef DRAGONFLYLOCK_TRACE_ITRACESINK_H
#define DRAGONFLYLOCK_TRACE_ITRACESINK_H

namespace dragonflylock {

struct TraceEvent;

/// Records events; callable from any thread.
class ITraceSink {
public:
  virtual ~ITraceSink() = default;
  /// Records \p Event; the sink adds time and process.
  virtual void record(TraceEvent Event) = 0;
};

} // namespace dragonflylock

#endif
