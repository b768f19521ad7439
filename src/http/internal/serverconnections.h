#ifndef DRAGONFLYLOCK_HTTP_INTERNAL_SERVERCONNECTIONS_H
#define DRAGONFLYLOCK_HTTP_INTERNAL_SERVERCONNECTIONS_H

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace dragonflylock {

/// Tracks the open connections to servers and finds those that may be dead:
/// when a kept connection falls silent, for example because a device on its way
/// has forgotten it, the others to the same server often have as well.
class ServerConnections {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Called when a request to \p Server begins to use the connection.
  void onBusy(int Socket, const std::string &Server);
  /// Called when the request has ended.
  void onIdle(int Socket, TimePoint Now);
  void onClosed(int Socket);
  /// Called when a request on a kept connection to \p Server got no answer.
  /// \param SentAt when the request was sent; if that was before the previous
  ///   such call for the server, the cause is the same, and the connections
  ///   that were opened since are sound.
  /// \returns the idle connections to the server, which must not be used again.
  std::vector<int> takeSuspects(const std::string &Server, TimePoint SentAt,
                                TimePoint Now);
  /// \returns the connections that have had no request since \p Time or
  ///   before, which must not be used again.
  std::vector<int> takeIdleSince(TimePoint Time);

private:
  struct Connection {
    std::string Server_;
    bool IsBusy_ = false;
    TimePoint IdleSince_;
  };

  std::map<int, Connection> Open_;
  /// By server: when its connections were last found to be suspect.
  std::map<std::string, TimePoint> SuspectedAt_;
};

} // namespace dragonflylock

#endif
