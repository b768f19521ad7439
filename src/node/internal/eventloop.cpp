#include "node/eventloop.h"

namespace dragonflylock {
namespace {

constexpr std::size_t UrgentRing = 256;
/// Longest batch before the regular function runs again.
constexpr std::chrono::milliseconds LongestBatch{50};

} // namespace

EventLoop::EventLoop(std::size_t RingCapacity,
                     std::chrono::milliseconds Interval, IWaitObserver *Waits)
    : Ring_(RingCapacity, Wake_), Urgent_(UrgentRing, Wake_),
      Interval_(Interval), Waits_(Waits) {}

EventLoop::~EventLoop() { stop(); }

void EventLoop::start(Work Regular) {
  Regular_ = std::move(Regular);
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

void EventLoop::note(WaitPlace Place, Clock::time_point Since) {
  if (Waits_ != nullptr)
    Waits_->waited(Place, std::chrono::duration_cast<std::chrono::microseconds>(
                              Clock::now() - Since));
}

void EventLoop::runOne(const Posted &Next) {
  note(WaitPlace::BeforeDeciding, Next.At_);
  Next.Work_();
}

void EventLoop::runUrgent() {
  Urgent_.drain([this](const Posted &Next) { runOne(Next); });
}

void EventLoop::run() {
  bool IsEmpty = true;
  while (!IsStopping_) {
    if (IsEmpty)
      Wake_.waitFor(Interval_);
    const Clock::time_point CutAt = Clock::now() + LongestBatch;
    runUrgent();
    IsEmpty = Ring_.drainWhile(
        [this](const Posted &Next) {
          runOne(Next);
          runUrgent();
        },
        [CutAt] { return Clock::now() < CutAt; });
    auto Begun = Clock::now();
    Regular_();
    note(WaitPlace::Deciding, Begun);
  }
}

} // namespace dragonflylock
