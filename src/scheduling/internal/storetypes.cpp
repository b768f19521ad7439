#include "scheduling/storetypes.h"

namespace dragonflylock {

const char *nameOf(StoreOutcome Outcome) {
  switch (Outcome) {
  case StoreOutcome::Done:
    return "done";
  case StoreOutcome::ConditionFailed:
    return "condition-failed";
  case StoreOutcome::NotDone:
    return "not-done";
  case StoreOutcome::Unknown:
    return "unknown";
  case StoreOutcome::HistoryLost:
    return "history-lost";
  }
  return "unknown";
}

} // namespace dragonflylock
