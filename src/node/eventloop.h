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

/// Runs posted functions one at a time on a thread of its own, and a periodic
/// function after each batch of them. Urgent functions run before all other
/// queued functions, and the duration of a batch is limited, so that a backlog
/// delays neither urgent functions nor the periodic function.
class EventLoop {
public:
  using Work = std::function<void()>;

  /// \param RingCapacity maximum number of queued functions, without urgent
  ///   ones.
  /// \param Interval the periodic function runs after this time even if
  ///   nothing is posted.
  /// \param WaitObserver receives the time that each function was queued and
  ///   the duration of each run of the periodic function; may be null, must
  ///   outlive the loop.
  EventLoop(std::size_t RingCapacity, std::chrono::milliseconds Interval,
            IWaitObserver *WaitObserver = nullptr);
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Starts the thread.
  /// \param PeriodicWork the periodic function; runs on the thread.
  void start(Work PeriodicWork);
  /// Queues \p Next to run on the thread; callable from any thread.
  /// \returns false if the queue is full; \p Next is discarded then.
  bool post(Work Next);
  /// As post(), but \p Next runs before all functions queued by post(). For
  /// the few functions that other work depends on; they have a separate queue
  /// of fixed capacity.
  bool postUrgent(Work Next);
  /// Stops and joins the thread. Functions that are still queued may not run.
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
