#include "http/plannedstop.h"
#include "http/httptypes.h"
#include "http/ihttpserver.h"

#include <utility>

namespace dragonflylock {
namespace {

/// Time without a connection after which no caller is expected.
constexpr std::chrono::milliseconds QuietTime{300};

HttpAnswer refusal() {
  return {httpstatus::Unavailable,
          {{"Retry-After", "1"}, {"Content-Type", "application/json"}},
          R"({"error":"the node is stopping; send the request again"})"};
}

} // namespace

PlannedStop::PlannedStop(IHttpServer &Server, const StopSchedule &Schedule,
                         EndRequests End)
    : Server_(Server), Schedule_(Schedule), EndRequests_(std::move(End)) {}

bool PlannedStop::step(TimePoint Now) {
  if (Phase_ == Phase::Serving && Now >= Schedule_.CloseAt_) {
    Phase_ = Phase::Closing;
    Server_.closeConnectionsAfterAnswers();
  }
  if (Phase_ == Phase::Closing && Now >= Schedule_.RefuseAt_) {
    Phase_ = Phase::Refusing;
    Server_.refuseRequests(refusal());
  }
  if (Phase_ == Phase::Refusing && Now >= Schedule_.EndRequestsAt_) {
    Phase_ = Phase::Ending;
    EndRequests_();
  }
  switch (Phase_) {
  case Phase::Serving:
    return false;
  case Phase::Closing:
  case Phase::Refusing:
    return isQuiet(Now);
  case Phase::Ending:
    return Server_.pendingAnswers() == 0 || Now >= Schedule_.StopAt_;
  }
  return true;
}

bool PlannedStop::isQuiet(TimePoint Now) {
  const std::uint64_t Connections = Server_.acceptedConnections();
  if (Server_.openConnections() > 0 || Connections != SeenConnections_) {
    SeenConnections_ = Connections;
    QuietSince_.reset();
    return false;
  }
  if (!QuietSince_)
    QuietSince_ = Now;
  return Now - *QuietSince_ >= QuietTime;
}

} // namespace dragonflylock
