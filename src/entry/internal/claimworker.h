#ifndef DRAGONFLYLOCK_ENTRY_INTERNAL_CLAIMWORKER_H
#define DRAGONFLYLOCK_ENTRY_INTERNAL_CLAIMWORKER_H

#include "claims/iclaimservice.h"
#include "entry/internal/iclaimworker.h"
#include "global/boundedring.h"
#include "global/signal.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace dragonflylock {

/// The thread that keeps claims in the table service.
class ClaimWorker : public IClaimWorker {
public:
  /// Receives the claims that ended.
  using Receiver = std::function<void(ClaimResult)>;

  /// \param Service is used by the worker's thread alone.
  /// \param Interval least time between two rounds, in which claims gather
  /// for one transaction.
  ClaimWorker(std::unique_ptr<IClaimService> Service, Receiver OnEnded,
              std::chrono::milliseconds Interval);
  ~ClaimWorker() override;

  /// Starts the thread.
  void start();
  /// Ends the thread once all settlements are written, or after \p Longest.
  void stop(std::chrono::milliseconds Longest);
  bool submit(ClaimWork Work) override;

private:
  void run();

  std::unique_ptr<IClaimService> Service_;
  Receiver OnEnded_;
  std::chrono::milliseconds Interval_;
  Signal Signal_;
  BoundedRing<ClaimWork> Work_;
  std::atomic<bool> IsIdle_ = true;
  std::atomic<bool> IsStopping_ = false;
  std::thread Thread_;
};

} // namespace dragonflylock

#endif
