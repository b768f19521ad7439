#ifndef DRAGONFLYLOCK_TESTS_SYSTEM_STANDINPOOL_H
#define DRAGONFLYLOCK_TESTS_SYSTEM_STANDINPOOL_H

#include "runledger.h"
#include "standinworker.h"
#include "tcprelay.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <random>
#include <thread>

namespace dragonflylock {

class StandInStore;

/// The workers of a pool, each behind a relay of its own, registered in the
/// store.
class StandInPool {
public:
  /// What becomes of the connections to a worker that crashes.
  enum class Connections {
    Closed,
    /// Nothing more passes on them, not even a close.
    Silent,
    /// They stay open, and what is on its way arrives at the next lifetime.
    Open,
  };

  /// \param Store where the workers are registered; must outlive the pool.
  /// \param Seed for the clocks of workers and the delays of orders.
  StandInPool(StandInStore &Store, std::size_t Workers, std::uint64_t Seed = 0);
  ~StandInPool();

  std::size_t size() const { return Members_.size(); }
  /// The way to a worker.
  TcpRelay &link(std::size_t Worker) { return *Members_[Worker]->Link_; }
  /// Keeps orders to a worker on their way until its next lifetime, before it
  /// crashes.
  void holdBackOrders(std::size_t Worker);
  /// Crashes a worker. Orders that come until it is back are held back.
  void crash(std::size_t Worker, Connections Ends);
  /// Starts a worker again under its id and address, with another clock, and
  /// registers the new lifetime. Orders that were held back arrive at once or
  /// some seconds later.
  void comeBack(std::size_t Worker);
  /// Notes an event of the test among those of the workers.
  void note(const std::string &What);
  /// \returns what must not have happened so far.
  std::vector<std::string> faults();
  /// \returns what happened so far, in order.
  std::vector<std::string> events();

private:
  /// A worker's port.
  class Member : public IHttpHandler {
  public:
    Member(StandInPool &Pool, const std::string &Id);
    void handle(HttpRequest Request,
                std::shared_ptr<IHttpResponder> Responder) override;
    /// Carries out an order.
    void carryOut(const HttpRequest &Request,
                  std::shared_ptr<IHttpResponder> Responder);

    StandInPool &Pool_;
    StandInWorker Worker_;
    RestinioServer Server_;
    std::unique_ptr<TcpRelay> Link_;
    bool HoldsBack_ = false;
  };
  /// An order that arrives late.
  struct LateOrder {
    Member *To_ = nullptr;
    HttpRequest Request_;
    std::shared_ptr<IHttpResponder> Responder_;
    std::chrono::steady_clock::time_point Due_;
  };
  /// A hold that waits for an end.
  struct Wait {
    StandInWorker *Worker_ = nullptr;
    std::chrono::steady_clock::time_point Until_;
    std::shared_ptr<IHttpResponder> Responder_;
  };

  void tick();
  void deliverLateOrders();
  void registerWorker(std::size_t Worker);
  /// Begins a lifetime of a worker with a clock that is ahead of the former or
  /// behind.
  void begin(StandInWorker &Worker);
  std::chrono::milliseconds pickTime(std::chrono::milliseconds From,
                                     std::chrono::milliseconds To);

  StandInStore &Store_;
  std::mutex Mutex_;
  std::mt19937_64 Random_;
  RunLedger Ledger_;
  std::vector<std::unique_ptr<Member>> Members_;
  std::vector<Wait> Waits_;
  std::vector<LateOrder> LateOrders_;
  /// Responders of calls that get no answer.
  std::vector<std::shared_ptr<IHttpResponder>> Unanswered_;
  std::atomic<bool> IsStopping_ = false;
  std::thread Timer_;
};

} // namespace dragonflylock

#endif
