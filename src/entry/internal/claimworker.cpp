#include "entry/internal/claimworker.h"

namespace dragonflylock {
namespace {

constexpr std::size_t WorkRing = 4096;
constexpr std::chrono::milliseconds BusyInterval{10};
constexpr std::chrono::milliseconds IdleInterval{500};

} // namespace

ClaimWorker::ClaimWorker(std::unique_ptr<IClaimService> Service,
                         Receiver OnEnded, std::chrono::milliseconds Interval)
    : Service_(std::move(Service)), OnEnded_(std::move(OnEnded)),
      Interval_(Interval), Work_(WorkRing, Signal_) {}

ClaimWorker::~ClaimWorker() { stop(std::chrono::milliseconds::zero()); }

void ClaimWorker::start() {
  Thread_ = std::thread([this] { run(); });
}

void ClaimWorker::stop(std::chrono::milliseconds Longest) {
  auto GiveUpAt = std::chrono::steady_clock::now() + Longest;
  while (!IsIdle_ && std::chrono::steady_clock::now() < GiveUpAt)
    std::this_thread::sleep_for(BusyInterval);
  IsStopping_ = true;
  Signal_.wake();
  if (Thread_.joinable())
    Thread_.join();
}

bool ClaimWorker::submit(ClaimWork Work) {
  IsIdle_ = false;
  return Work_.tryPut(std::move(Work));
}

void ClaimWorker::run() {
  while (!IsStopping_) {
    IsIdle_ = true;
    Work_.drain([this](ClaimWork Work) {
      if (auto *Command = std::get_if<ClaimCommand>(&Work))
        Service_->obtain(Command->Request_, std::move(Command->Wanted_),
                         Command->Deadline_);
      else
        Service_->settle(std::get<ClaimSettlement>(std::move(Work)));
    });
    bool IsBusy = !Service_->isIdle();
    if (IsBusy)
      IsIdle_ = false;
    auto NextRound = std::chrono::steady_clock::now() + Interval_;
    std::vector<ClaimResult> Ended = Service_->runRound();
    for (ClaimResult &Each : Ended)
      OnEnded_(std::move(Each));
    if (Ended.empty())
      Signal_.waitFor(IsBusy ? BusyInterval : IdleInterval);
    if (IsBusy)
      std::this_thread::sleep_until(NextRound);
  }
}

} // namespace dragonflylock
