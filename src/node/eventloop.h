#ifndef DRAGONFLYLOCK_NODE_EVENTLOOP_H
#define DRAGONFLYLOCK_NODE_EVENTLOOP_H

#include "global/boundedring.h"
#include "global/signal.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <thread>

namespace dragonflylock {

/// A thread that runs the functions given to it, one at a time, and a regular
/// function after each batch of them.
class EventLoop {
public:
  using Work = std::function<void()>;

  /// \param RingCapacity functions that may wait.
  /// \param Interval longest time between two runs of the regular function.
  EventLoop(std::size_t RingCapacity, std::chrono::milliseconds Interval);
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Starts the thread.
  /// \param Regular the regular function.
  void start(Work Regular);
  /// Has \p Next run on the thread; callable from any thread.
  /// \returns false, and drops it, where too many functions wait.
  bool post(Work Next);
  /// Ends the thread.
  void stop();

private:
  void run();

  Signal Wake_;
  BoundedRing<Work> Ring_;
  std::chrono::milliseconds Interval_;
  Work Regular_;
  std::atomic<bool> IsStopping_ = false;
  std::thread Thread_;
};

} // namespace dragonflylock

#endif
