#include "node/eventloop.h"

namespace dragonflylock {

EventLoop::EventLoop(std::size_t RingCapacity,
                     std::chrono::milliseconds Interval)
    : Ring_(RingCapacity, Wake_), Interval_(Interval) {}

EventLoop::~EventLoop() { stop(); }

void EventLoop::start(Work Regular) {
  Regular_ = std::move(Regular);
  Thread_ = std::thread([this] { run(); });
}

bool EventLoop::post(Work Next) { return Ring_.tryPut(std::move(Next)); }

void EventLoop::stop() {
  IsStopping_ = true;
  Wake_.wake();
  if (Thread_.joinable())
    Thread_.join();
}

void EventLoop::run() {
  while (!IsStopping_) {
    Wake_.waitFor(Interval_);
    Ring_.drain([](const Work &Next) { Next(); });
    Regular_();
  }
}

} // namespace dragonflylock
