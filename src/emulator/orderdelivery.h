#ifndef DRAGONFLYLOCK_EMULATOR_ORDERDELIVERY_H
#define DRAGONFLYLOCK_EMULATOR_ORDERDELIVERY_H

#include "emulator/randomgenerator.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dragonflylock {

class Simulation;

/// Orders that don't reach their worker at once: they are carried out seconds
/// later, or by the next lifetime of the same worker id.
class OrderDelivery {
public:
  /// Carries out an order, if the worker can be reached then.
  using CarryOut = std::function<void()>;

  explicit OrderDelivery(Simulation &Sim);

  /// Probability that an order to a worker that is up is carried out late.
  double LateProbability_ = 0;
  /// Probability that an order on its way to a worker that crashes is carried
  /// out by the next lifetime.
  double HoldUpProbability_ = 0;

  /// Decides whether an order is held up or late.
  /// \param IsCrashing whether the worker is down or about to crash.
  /// \returns whether \p Order is called later, or never if the worker leaves
  ///   its address.
  bool divert(const std::string &Worker, bool IsCrashing,
              const CarryOut &Order);
  /// Calls \p Order after \p Delay.
  void deliverLate(const std::string &Worker, std::chrono::milliseconds Delay,
                   const CarryOut &Order);
  /// Delivers the orders that were held up until the next lifetime began.
  void onWorkerUp(const std::string &Worker);
  /// Drops the orders that are on their way to the worker's former address.
  void onAddressLeft(const std::string &Worker);

private:
  Simulation &Simulation_;
  RandomGenerator Random_;
  std::map<std::string, std::vector<CarryOut>> HeldUp_;
  /// Number of times that each worker has left its address.
  std::map<std::string, std::uint64_t> AddressesLeft_;
};

} // namespace dragonflylock

#endif
