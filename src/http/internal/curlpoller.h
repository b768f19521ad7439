#ifndef DRAGONFLYLOCK_HTTP_INTERNAL_CURLPOLLER_H
#define DRAGONFLYLOCK_HTTP_INTERNAL_CURLPOLLER_H

#include "global/iwaker.h"
#include "http/connectionlimits.h"
#include "http/internal/serverconnections.h"

#include <curl/curl.h>

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace dragonflylock {

class CurlTransfer;

/// Drives the transfers of a multi handle whose sockets or timers are ready.
/// What a round costs does not grow with the transfers that merely wait for
/// their answers.
class CurlPoller : public IWaker {
public:
  explicit CurlPoller(const ConnectionLimits &Limits);
  ~CurlPoller() override;
  CurlPoller(const CurlPoller &) = delete;
  CurlPoller &operator=(const CurlPoller &) = delete;

  /// \param Transfer must outlive its removal.
  void add(CurlTransfer &Transfer);
  void remove(CurlTransfer &Transfer);
  /// Ends the connections that may be dead since \p Unanswered has failed on a
  /// kept connection.
  void endSuspectConnections(const CurlTransfer &Unanswered);
  /// Waits until transfers can go on, at most \p Longest, and drives them.
  void drive(std::chrono::milliseconds Longest);
  /// \returns a transfer that has ended, or null.
  /// \param Code how it ended.
  CurlTransfer *takeEnded(CURLcode &Code);
  void wake() override;

private:
  using Clock = std::chrono::steady_clock;
  struct MultiDeleter {
    void operator()(CURLM *Handle) const { curl_multi_cleanup(Handle); }
  };

  static int onClose(void *Self, curl_socket_t Socket);
  static int onSocket(CURL *Transfer, curl_socket_t Socket, int What,
                      void *Self, void *Known);
  static int onTimer(CURLM *Multi, long Milliseconds, void *Self);
  void watch(curl_socket_t Socket, int What) const;
  int waitTime(std::chrono::milliseconds Longest) const;
  void act(curl_socket_t Socket, int Flags);
  /// Lets transfers end whose time is up.
  void endOverdue();
  /// Closes connections that have been idle for too long, at intervals.
  void endIdleConnections();
  static void endConnections(const std::vector<int> &Sockets);

  int Epoll_;
  int Wakeup_;
  const std::chrono::milliseconds IdleTimeout_;
  Clock::time_point NextIdleCheck_;
  ServerConnections Connections_;
  std::unique_ptr<CURLM, MultiDeleter> Multi_;
  std::optional<Clock::time_point> TimerAt_;
  /// Ends of the time of transfers that libcurl has repeated, with their
  /// sockets.
  std::set<std::pair<Clock::time_point, curl_socket_t>> Deadlines_;
};

} // namespace dragonflylock

#endif
