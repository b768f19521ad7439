#ifndef DRAGONFLYLOCK_NODE_EVENTLOOP_H
#define DRAGONFLYLOCK_NODE_EVENTLOOP_H

#include "global/boundedring.h"
#include "global/iwaitobserver.h"
#include "global/signal.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <thread>

namespace dragonflylock {

/// A thread that runs the functions given to it, one at a time, and a regular
/// function after each batch of them. Urgent functions go before all others
/// that wait, and a batch is cut after a while, so that neither they nor the
/// regular function wait for a backlog.
class EventLoop {
public:
  using Work = std::function<void()>;

  /// \param RingCapacity functions that may wait.
  /// \param Interval longest time between two runs of the regular function.
  /// \param WaitObserver is told how long functions wait and how long the
  /// regular one
  ///   takes; may be null, must outlive the loop.
  EventLoop(std::size_t RingCapacity, std::chrono::milliseconds Interval,
            IWaitObserver *WaitObserver = nullptr);
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Starts the thread.
  /// \param PeriodicWork the regular function.
  void start(Work PeriodicWork);
  /// Has \p Next run on the thread; callable from any thread.
  /// \returns false, and drops it, where too many functions wait.
  bool post(Work Next);
  /// As post(), for the few functions that others depend on.
  bool postUrgent(Work Next);
  /// Ends the thread.
  void stop();

private:
  using Clock = std::chrono::steady_clock;
  struct QueuedWork {
    Work Work_;
    Clock::time_point PostedAt_;
  };

  void run();
  void runUrgent();
  void runOne(const QueuedWork &Next);
  void recordWait(WaitPlace Place, Clock::time_point Since);

  Signal Wake_;
  BoundedRing<QueuedWork> Ring_;
  BoundedRing<QueuedWork> Urgent_;
  std::chrono::milliseconds Interval_;
  IWaitObserver *WaitObserver_;
  Work PeriodicWork_;
  std::atomic<bool> IsStopping_ = false;
  std::thread Thread_;
};

} // namespace dragonflylock

#endif
