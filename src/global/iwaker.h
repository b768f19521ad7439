#ifndef DRAGONFLYLOCK_GLOBAL_IWAKER_H
#define DRAGONFLYLOCK_GLOBAL_IWAKER_H

namespace dragonflylock {

/// Wakes the thread that consumes a ring.
class IWaker {
public:
  virtual ~IWaker() = default;
  /// Wakes the consumer; callable from any thread.
  virtual void wake() = 0;
};

} // namespace dragonflylock

#endif
