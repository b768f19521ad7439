#include "trace/tracechecker.h"
#include "trace/internal/tracerules.h"

#include <algorithm>

namespace dragonflylock {

TraceChecker::TraceChecker(std::chrono::milliseconds LeavingBound) {
  Rules_.push_back(tracerules::makeAtMostOnce());
  Rules_.push_back(tracerules::makeNotRunIsTrue());
  Rules_.push_back(tracerules::makeOwnAnswer());
  Rules_.push_back(tracerules::makeConfigurationNeverReverts());
  Rules_.push_back(tracerules::makeLeavingReceivesNothing(LeavingBound));
  Rules_.push_back(tracerules::makeOnePool());
  Rules_.push_back(tracerules::makeAvailability());
}

std::optional<TraceViolation>
TraceChecker::check(std::vector<TraceEvent> Events) {
  std::stable_sort(Events.begin(), Events.end(),
                   [](const TraceEvent &Left, const TraceEvent &Right) {
                     return Left.AtUs_ < Right.AtUs_;
                   });
  for (const TraceEvent &Event : Events) {
    for (const auto &Rule : Rules_) {
      if (auto Finding = Rule->observe(Event))
        return TraceViolation{Rule->name(), *Finding, Event};
    }
  }
  return std::nullopt;
}

} // namespace dragonflylock
