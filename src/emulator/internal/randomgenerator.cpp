#include "emulator/randomgenerator.h"

#include <string>

namespace dragonflylock {

RandomGenerator::RandomGenerator(std::uint64_t Seed, std::string_view Purpose) {
  std::string Words(Purpose);
  Words += std::to_string(Seed);
  std::seed_seq Sequence(Words.begin(), Words.end());
  Engine_.seed(Sequence);
}

std::int64_t RandomGenerator::inRange(std::int64_t Low, std::int64_t High) {
  // std::uniform_int_distribution is not used because its results differ
  // between standard libraries.
  auto Span = static_cast<std::uint64_t>(High - Low + 1);
  return Low + static_cast<std::int64_t>(Engine_() % Span);
}

bool RandomGenerator::withProbability(double Probability) {
  constexpr std::int64_t Million = 1000000;
  return static_cast<double>(inRange(0, Million - 1)) <
         Probability * static_cast<double>(Million);
}

} // namespace dragonflylock
