#include "global/units.h"
#include "ownerload/modelpool.h"

#include <docopt.h>

#include <ctime>
#include <iostream>

namespace dragonflylock {
namespace {

constexpr const char *Usage =
    R"(dragonflylock-ownerload: measures what the decisions of a pool's owner cost.

Usage:
  dragonflylock-ownerload [options]

Options:
  --workers=N  Workers of the pool [default: 160].
  --jobs=N     Jobs that wait at the start [default: 1500].
  --events=N   Answers of workers that are measured [default: 10000].
  --batch=N    Answers between two rounds of decisions [default: 1].
  -h --help    Show this text.
)";

std::uint32_t numberOf(const docopt::value &Value) {
  auto Number = parseNumber(Value.asString());
  return Number ? static_cast<std::uint32_t>(Number.value()) : 0;
}

std::chrono::microseconds processorTime() {
  constexpr std::int64_t MicrosPerSecond = 1000000;
  return std::chrono::microseconds(std::clock() * MicrosPerSecond /
                                   CLOCKS_PER_SEC);
}

int run(int Count, char **Words) {
  auto Arguments = docopt::docopt(Usage, {Words + 1, Words + Count}, true);
  const std::uint32_t Events = numberOf(Arguments.at("--events"));
  const std::uint32_t Batch = std::max(1U, numberOf(Arguments.at("--batch")));
  ModelPool Pool(numberOf(Arguments.at("--workers")),
                 numberOf(Arguments.at("--jobs")));
  auto Begin = processorTime();
  Pool.load();
  auto Loaded = processorTime();
  Pool.fill();
  auto Filled = processorTime();
  Pool.play(Events, Batch);
  auto Played = processorTime();
  std::cout << "load-us=" << (Loaded - Begin).count()
            << " fill-us=" << (Filled - Loaded).count() << " events=" << Events
            << " us-per-event="
            << static_cast<double>((Played - Filled).count()) / Events
            << " starts=" << Pool.starts() << " ends=" << Pool.ends()
            << " jobs-left=" << Pool.jobsLeft()
            << " starts-digest=" << Pool.startsDigest() << "\n";
  return 0;
}

} // namespace
} // namespace dragonflylock

int main(int Count, char **Words) { return dragonflylock::run(Count, Words); }
