#include "runledger.h"

#include <fmt/chrono.h>

#include <chrono>

namespace dragonflylock {

void RunLedger::note(const std::string &What) {
  const auto Now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  Events_.push_back(fmt::format(
      "{:%FT%T}.{:03} {}",
      fmt::gmtime(std::chrono::system_clock::to_time_t(Now)),
      Now.time_since_epoch().count() % std::chrono::milliseconds::period::den,
      What));
}

} // namespace dragonflylock
