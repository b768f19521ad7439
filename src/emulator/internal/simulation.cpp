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

std::int64_t Simulation::randomInRange(std::int64_t Low, std::int64_t High) {
  // std::uniform_int_distribution is not used because its results differ
  // between standard libraries.
  auto Span = static_cast<std::uint64_t>(High - Low + 1);
  return Low + static_cast<std::int64_t>(Random_() % Span);
}

bool Simulation::withProbability(double Probability) {
  constexpr std::int64_t Million = 1000000;
  return static_cast<double>(randomInRange(0, Million - 1)) <
         Probability * static_cast<double>(Million);
}

void Simulation::reportViolation(const std::string &Invariant,
                                 const std::string &Detail) {
  Violations_.push_back(std::to_string(elapsed().count()) + "ms " + Invariant +
                        ": " + Detail);
}

} // namespace dragonflylock
