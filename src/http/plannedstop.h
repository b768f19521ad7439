#ifndef DRAGONFLYLOCK_HTTP_PLANNEDSTOP_H
#define DRAGONFLYLOCK_HTTP_PLANNEDSTOP_H

#include "http/stopschedule.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace dragonflylock {

class IHttpServer;

/// Ends the service of callers in phases, so that each request that is read
/// gets an answer before the process ends: the server serves on, then closes
/// connections, then refuses new requests, and at last answers the pending
/// ones. It ends sooner if no caller is left.
class PlannedStop {
public:
  /// Gives the requests that the process has their final answers, which may
  /// follow on another thread.
  using EndRequests = std::function<void()>;

  /// \param Server must outlive this object.
  /// \param End is called at most once, when the pending requests must end.
  PlannedStop(IHttpServer &Server, const StopSchedule &Schedule,
              EndRequests End);

  /// Does what is due at \p Now; to be called again and again.
  /// \returns whether the server may be stopped.
  bool step(TimePoint Now);

private:
  enum class Phase { Serving, Closing, Refusing, Ending };

  /// \returns whether no connection was open or accepted for a while.
  bool isQuiet(TimePoint Now);

  IHttpServer &Server_;
  StopSchedule Schedule_;
  EndRequests EndRequests_;
  Phase Phase_ = Phase::Serving;
  std::optional<TimePoint> QuietSince_;
  std::uint64_t SeenConnections_ = 0;
};

} // namespace dragonflylock

#endif
