#include "emulator/simulation.h"

namespace dragonflylock {

WallTime Simulation::wallNow() const {
  return WallTime(
      std::chrono::duration_cast<WallTime::duration>(Now_.time_since_epoch()));
}

void Simulation::schedule(std::chrono::microseconds Delay, Event Next) {
  Events_.emplace(std::make_pair(Now_ + Delay, ++Sequence_), std::move(Next));
}

void Simulation::runUntil(Duration Length) {
  const TimePoint End = startTime() + Length;
  while (!Events_.empty() && Events_.begin()->first.first <= End) {
    auto Next = Events_.extract(Events_.begin());
    Now_ = Next.key().first;
    Next.mapped()();
  }
  Now_ = End;
}

Simulation::Duration Simulation::elapsed() const {
  return std::chrono::duration_cast<Duration>(Now_ - startTime());
}

void Simulation::reportViolation(const std::string &Invariant,
                                 const std::string &Detail) {
  Violations_.push_back(std::to_string(elapsed().count()) + "ms " + Invariant +
                        ": " + Detail);
}

} // namespace dragonflylock
