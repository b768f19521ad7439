#include "emulator/orderdelivery.h"
#include "emulator/simulation.h"

#include <utility>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds MinLateness{300};
constexpr milliseconds MaxLateness{8000};
/// Longest time from the return of a worker until an order that its sender
/// repeats on a new connection is there.
constexpr milliseconds MaxRetryDelay{300};
/// The same for an order that was held up on its way.
constexpr milliseconds MaxHoldUp{4000};

} // namespace

OrderDelivery::OrderDelivery(Simulation &Sim)
    : Simulation_(Sim), Random_(Sim.separateGenerator("order delivery")) {}

bool OrderDelivery::divert(const std::string &Worker, bool IsCrashing,
                           const CarryOut &Order) {
  if (IsCrashing) {
    bool IsHeldUp =
        HoldUpProbability_ > 0 && Random_.withProbability(HoldUpProbability_);
    if (IsHeldUp)
      HeldUp_[Worker].push_back(Order);
    return IsHeldUp;
  }
  bool IsLate =
      LateProbability_ > 0 && Random_.withProbability(LateProbability_);
  if (IsLate)
    deliverLate(
        Worker,
        milliseconds(Random_.inRange(MinLateness.count(), MaxLateness.count())),
        Order);
  return IsLate;
}

void OrderDelivery::deliverLate(const std::string &Worker, milliseconds Delay,
                                const CarryOut &Order) {
  Simulation_.schedule(Delay,
                       [this, Worker, Order, Left = AddressesLeft_[Worker]] {
                         if (AddressesLeft_[Worker] == Left)
                           Order();
                       });
}

void OrderDelivery::onWorkerUp(const std::string &Worker) {
  auto Found = HeldUp_.find(Worker);
  if (Found == HeldUp_.end())
    return;
  std::vector<CarryOut> Orders = std::move(Found->second);
  HeldUp_.erase(Found);
  for (const CarryOut &Order : Orders) {
    milliseconds Longest =
        Random_.withProbability(0.5) ? MaxRetryDelay : MaxHoldUp;
    deliverLate(Worker, milliseconds(Random_.inRange(0, Longest.count())),
                Order);
  }
}

void OrderDelivery::onAddressLeft(const std::string &Worker) {
  ++AddressesLeft_[Worker];
  HeldUp_.erase(Worker);
}

} // namespace dragonflylock
