#include "node/eventloop.h"

namespace dragonflylock {

EventLoop::EventLoop(std::size_t RingCapacity,
                     std::chrono::milliseconds Interval, IWaitObserver *Waits)
    : Ring_(RingCapacity, Wake_), Interval_(Interval), Waits_(Waits) {}

EventLoop::~EventLoop() { stop(); }

void EventLoop::start(Work Regular) {
  Regular_ = std::move(Regular);
  Thread_ = std::thread([this] { run(); });
}

bool EventLoop::post(Work Next) {
  return Ring_.tryPut({std::move(Next), Clock::now()});
}

void EventLoop::stop() {
  IsStopping_ = true;
  Wake_.wake();
  if (Thread_.joinable())
    Thread_.join();
}

void EventLoop::note(WaitPlace Place, Clock::time_point Since) {
  if (Waits_ != nullptr)
    Waits_->waited(Place, std::chrono::duration_cast<std::chrono::microseconds>(
                              Clock::now() - Since));
}

void EventLoop::run() {
  while (!IsStopping_) {
    Wake_.waitFor(Interval_);
    Ring_.drain([this](const Posted &Next) {
      note(WaitPlace::BeforeDeciding, Next.At_);
      Next.Work_();
    });
    auto Begun = Clock::now();
    Regular_();
    note(WaitPlace::Deciding, Begun);
  }
}

} // namespace dragonflylock
