#ifndef DRAGONFLYLOCK_TELEMETRY_INTERNAL_STOPWATCH_H
#define DRAGONFLYLOCK_TELEMETRY_INTERNAL_STOPWATCH_H

#include <chrono>

namespace dragonflylock {

/// Measures the time since its construction.
class Stopwatch {
public:
  std::chrono::microseconds elapsed() const {
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now() - Start_);
  }

private:
  std::chrono::steady_clock::time_point Start_ =
      std::chrono::steady_clock::now();
};

} // namespace dragonflylock

#endif
