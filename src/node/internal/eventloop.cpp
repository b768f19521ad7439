#include "node/eventloop.h"

namespace dragonflylock {
namespace {

constexpr std::size_t UrgentRingCapacity = 256;
/// No further function of a batch starts after this time, so that the periodic
/// function runs during a backlog.
constexpr std::chrono::milliseconds MaxBatchDuration{50};

} // namespace

EventLoop::EventLoop(std::size_t RingCapacity,
                     std::chrono::milliseconds Interval,
                     IWaitObserver *WaitObserver)
    : Ring_(RingCapacity, Wake_), Urgent_(UrgentRingCapacity, Wake_),
      Interval_(Interval), WaitObserver_(WaitObserver) {}

EventLoop::~EventLoop() { stop(); }

void EventLoop::start(Work PeriodicWork) {
  PeriodicWork_ = std::move(PeriodicWork);
  Thread_ = std::thread([this] { run(); });
}

bool EventLoop::post(Work Next) {
  return Ring_.tryPut({std::move(Next), Clock::now()});
}

bool EventLoop::postUrgent(Work Next) {
  return Urgent_.tryPut({std::move(Next), Clock::now()});
}

void EventLoop::stop() {
  IsStopping_ = true;
  Wake_.wake();
  if (Thread_.joinable())
    Thread_.join();
}

void EventLoop::recordWait(WaitPlace Place, Clock::time_point Since) {
  if (WaitObserver_ != nullptr)
    WaitObserver_->waited(Place,
                          std::chrono::duration_cast<std::chrono::microseconds>(
                              Clock::now() - Since));
}

void EventLoop::runOne(const QueuedWork &Next) {
  recordWait(WaitPlace::BeforeDeciding, Next.PostedAt_);
  Next.Work_();
}

void EventLoop::runUrgent() {
  Urgent_.drain([this](const QueuedWork &Next) { runOne(Next); });
}

void EventLoop::run() {
  bool IsEmpty = true;
  while (!IsStopping_) {
    if (IsEmpty)
      Wake_.waitFor(Interval_);
    const Clock::time_point BatchDeadline = Clock::now() + MaxBatchDuration;
    runUrgent();
    IsEmpty = Ring_.drainWhile(
        [this](const QueuedWork &Next) {
          runOne(Next);
          runUrgent();
        },
        [BatchDeadline] { return Clock::now() < BatchDeadline; });
    auto Start = Clock::now();
    PeriodicWork_();
    recordWait(WaitPlace::Deciding, Start);
  }
}

} // namespace dragonflylock
