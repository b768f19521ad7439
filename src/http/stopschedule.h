#ifndef DRAGONFLYLOCK_HTTP_STOPSCHEDULE_H
#define DRAGONFLYLOCK_HTTP_STOPSCHEDULE_H

#include "global/iclock.h"

#include <chrono>

namespace dragonflylock {

/// Times of the phases of a planned stop, in this order.
struct StopSchedule {
  /// From here on connections are closed.
  TimePoint CloseAt_;
  /// From here on new requests are refused.
  TimePoint RefuseAt_;
  /// Time at which pending requests get their final answers.
  TimePoint EndRequestsAt_;
  /// Time at which the server is stopped at the latest.
  TimePoint StopAt_;

  /// \param Begin time of the request to stop.
  /// \param Grace time after \p Begin at which the process is killed.
  /// \returns the latest times that leave each phase the time that it needs.
  static StopSchedule within(TimePoint Begin, std::chrono::milliseconds Grace);
};

} // namespace dragonflylock

#endif
