#ifndef DRAGONFLYLOCK_TESTS_SYSTEM_STANDINPOOL_H
#define DRAGONFLYLOCK_TESTS_SYSTEM_STANDINPOOL_H

#include "runledger.h"
#include "standinworker.h"
#include "tcprelay.h"

#include <atomic>
#include <thread>

namespace dragonflylock {

class StandInStore;

/// The workers of a pool, each behind a relay of its own, registered in the
/// store.
class StandInPool {
public:
  /// \param Store where the workers are registered.
  StandInPool(StandInStore &Store, std::size_t Workers);
  ~StandInPool();

  std::size_t size() const { return Members_.size(); }
  /// The way to a worker.
  TcpRelay &link(std::size_t Worker) { return *Members_[Worker]->Link_; }
  /// \returns what must not have happened so far.
  std::vector<std::string> faults();

private:
  /// A worker's port.
  class Member : public IHttpHandler {
  public:
    Member(StandInPool &Pool, const std::string &Id);
    void handle(HttpRequest Request,
                std::shared_ptr<IHttpResponder> Responder) override;

    StandInPool &Pool_;
    StandInWorker Worker_;
    RestinioServer Server_;
    std::unique_ptr<TcpRelay> Link_;
  };
  /// A hold that waits for an end.
  struct Wait {
    StandInWorker *Worker_ = nullptr;
    std::chrono::steady_clock::time_point Until_;
    std::shared_ptr<IHttpResponder> Responder_;
  };

  void tick();

  std::mutex Mutex_;
  RunLedger Ledger_;
  std::vector<std::unique_ptr<Member>> Members_;
  std::vector<Wait> Waits_;
  std::atomic<bool> IsStopping_ = false;
  std::thread Timer_;
};

} // namespace dragonflylock

#endif
