#include "http/stopschedule.h"

#include <algorithm>

namespace dragonflylock {
namespace {

/// Time for the platform to learn that the node is not ready: it asks every
/// second and acts on the second refusal.
constexpr std::chrono::milliseconds TurnAwayTime{2300};
/// Time in which nearly every request is answered.
constexpr std::chrono::milliseconds UsualRequestTime{500};
/// Time for final answers to be decided and written.
constexpr std::chrono::milliseconds FinalAnswerTime{300};
/// Time before the process is killed that is left for its own end.
constexpr std::chrono::milliseconds StopReserve{700};

} // namespace

StopSchedule StopSchedule::within(TimePoint Begin,
                                  std::chrono::milliseconds Grace) {
  StopSchedule Schedule;
  Schedule.StopAt_ = Begin + Grace - StopReserve;
  Schedule.EndRequestsAt_ = Schedule.StopAt_ - FinalAnswerTime;
  Schedule.RefuseAt_ = Schedule.EndRequestsAt_ - UsualRequestTime;
  Schedule.CloseAt_ = std::min(Begin + TurnAwayTime, Schedule.RefuseAt_);
  return Schedule;
}

} // namespace dragonflylock
