#include "trace/tracechecker.h"
#include "trace/internal/tracerules.h"

#include <algorithm>

namespace dragonflylock {

TraceChecker::TraceChecker(std::chrono::milliseconds LeavingBound)
    : LeavingBound_(LeavingBound) {}

std::vector<std::unique_ptr<ITraceRule>>
TraceChecker::makeRules(const std::vector<TraceEvent> &Events) const {
  bool HasInstanceRecords =
      std::any_of(Events.begin(), Events.end(), [](const TraceEvent &Event) {
        return Event.Kind_ == TraceKind::Ran;
      });
  std::vector<std::unique_ptr<ITraceRule>> Rules;
  Rules.push_back(tracerules::makeAtMostOnce());
  Rules.push_back(tracerules::makeNotRunIsTrue());
  Rules.push_back(tracerules::makeOwnAnswer(HasInstanceRecords));
  Rules.push_back(tracerules::makeConfigurationNeverReverts());
  Rules.push_back(tracerules::makeLeavingReceivesNothing(LeavingBound_));
  Rules.push_back(tracerules::makeOnePool());
  Rules.push_back(tracerules::makeAvailability());
  return Rules;
}

std::optional<TraceViolation>
TraceChecker::check(std::vector<TraceEvent> Events) const {
  auto Rules = makeRules(Events);
  std::stable_sort(Events.begin(), Events.end(),
                   [](const TraceEvent &Left, const TraceEvent &Right) {
                     return Left.AtUs_ < Right.AtUs_;
                   });
  for (const TraceEvent &Event : Events) {
    for (const auto &Rule : Rules) {
      if (auto Finding = Rule->observe(Event))
        return TraceViolation{Rule->name(), *Finding, Event};
    }
  }
  return std::nullopt;
}

} // namespace dragonflylock
