#ifndef DRAGONFLYLOCK_HTTP_INTERNAL_CONNECTIONREGISTRY_H
#define DRAGONFLYLOCK_HTTP_INTERNAL_CONNECTIONREGISTRY_H

#include "global/iclock.h"
#include "global/requestlimits.h"
#include "http/internal/heaptrimmer.h"
#include "http/internal/shedcause.h"
#include "http/requestbudget.h"
#include "http/servercapacity.h"

#include <asio/execution_context.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace dragonflylock {

class TrackedSocket;

/// The sockets of one I/O context. It closes those that are idle, that keep to
/// no limit or that hold the memory and the descriptors that others need.
/// Connections with a request that was passed to the handler are not closed.
/// Thread-safe: a socket is destroyed on the thread that gives its last answer,
/// and limits come from any thread. All else runs on the thread of the context.
class ConnectionRegistry : public asio::execution_context::service {
public:
  /// Numbers of connections that were closed, by ShedCause.
  using ShedCounts = std::array<std::uint64_t, ShedCauses>;

  // Asio looks the service up by this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static inline asio::execution_context::id id;

  explicit ConnectionRegistry(asio::execution_context &Context)
      : asio::execution_context::service(Context) {}

  void add(TrackedSocket *Socket) {
    const std::lock_guard Lock(Mutex_);
    Sockets_.insert(Socket);
  }
  void remove(TrackedSocket *Socket);

  /// Sets what all connections may use; before the first one.
  void setCapacity(const ServerCapacity &Capacity);
  /// Sets the limits of each request, from its next byte on.
  void setLimits(const RequestLimits &Limits);
  RequestLimits limits() const;

  /// Called when a connection begins to read for the first time. Closes another
  /// one if there are too many, or this one if no other may be closed.
  void onOpened(TrackedSocket &Socket);
  /// Called when what a connection holds has changed. Closes those that must
  /// give up their memory, which may be this one.
  void onChanged(TrackedSocket &Socket);
  /// Counts a connection that is closed with an answer.
  void onRefused(ShedCause Cause);

  /// Closes the connections whose time has run out and returns freed memory;
  /// called several times a second.
  void sweep(TimePoint Now);
  /// \returns the connections closed since the last call.
  ShedCounts takeShedCounts();
  /// Ends the connections that have waited for a request for \p IdleTime. A
  /// request that the operating system has received is still read and handled.
  void closeIdle(std::chrono::milliseconds IdleTime);
  /// Closes all connections, once the I/O context has stopped.
  void closeAll();

private:
  using Id = RequestBudget::Id;

  void shutdown() override {}
  /// Closes a connection; called with the lock held.
  void shed(Id Connection, ShedCause Cause);
  /// Closes the connection that has waited for a request for the longest time,
  /// else the one with the least progress; called with the lock held.
  /// \returns whether there was one.
  bool makeRoom(TimePoint Now);

  mutable std::mutex Mutex_;
  std::unordered_set<TrackedSocket *> Sockets_;
  /// Connections that have begun to read and are not being closed.
  std::unordered_map<Id, TrackedSocket *> Open_;
  Id NextId_ = 1;
  ServerCapacity Capacity_;
  RequestLimits Limits_;
  RequestBudget Budget_{Capacity_.RequestBytes_};
  HeapTrimmer Trimmer_;
  ShedCounts Shed_{};
};

} // namespace dragonflylock

#endif
