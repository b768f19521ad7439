#ifndef DRAGONFLYLOCK_GLOBAL_BOUNDEDRING_H
#define DRAGONFLYLOCK_GLOBAL_BOUNDEDRING_H

#include "global/iwaker.h"

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

namespace dragonflylock {

/// A bounded ring that joins the threads of two duties.
///
/// One thread takes from it. Several may put: they take turns under a mutex,
/// which is free of contention where there is one producer.
template <typename T> class BoundedRing {
public:
  /// \param Capacity the number of entries that fit.
  /// \param Consumer is woken after each put; must outlive the ring.
  BoundedRing(std::size_t Capacity, IWaker &Consumer)
      : Queue_(Capacity), Consumer_(Consumer) {}

  /// Puts \p Entry unless the ring is full.
  /// \returns whether it was put; a refusal is counted.
  bool tryPut(T Entry) {
    auto Box = std::make_unique<T>(std::move(Entry));
    return tryPutBox(Box);
  }

  /// Puts \p Entry, and waits while the ring is full unless \p IsStopping.
  void put(T Entry, const std::atomic<bool> &IsStopping) {
    constexpr std::chrono::milliseconds Pause{1};
    auto Box = std::make_unique<T>(std::move(Entry));
    while (!tryPutBox(Box) && !IsStopping)
      std::this_thread::sleep_for(Pause);
  }

  /// Hands every waiting entry to \p Handle.
  template <typename Handler> void drain(Handler &&Handle) {
    Queue_.consume_all([&](T *Raw) {
      std::unique_ptr<T> Entry(Raw);
      Handle(std::move(*Entry));
    });
  }

  /// Hands waiting entries to \p Handle while \p MayGoOn says so.
  /// \returns whether none waits any more.
  template <typename Handler, typename Condition>
  bool drainWhile(Handler &&Handle, Condition &&MayGoOn) {
    auto Take = [&](T *Raw) {
      std::unique_ptr<T> Entry(Raw);
      Handle(std::move(*Entry));
    };
    while (MayGoOn())
      if (!Queue_.consume_one(Take))
        return true;
    return Queue_.read_available() == 0;
  }

  ~BoundedRing() {
    drain([](T &&) {});
  }
  BoundedRing(const BoundedRing &) = delete;
  BoundedRing &operator=(const BoundedRing &) = delete;

  /// \returns how many entries were refused because the ring was full.
  std::uint64_t refused() const { return Refused_; }

private:
  bool tryPutBox(std::unique_ptr<T> &Box) {
    {
      std::lock_guard Lock(Producers_);
      if (!Queue_.push(Box.get())) {
        ++Refused_;
        return false;
      }
      // The queue owns the entry from now on.
      static_cast<void>(Box.release());
    }
    Consumer_.wake();
    return true;
  }

  boost::lockfree::spsc_queue<T *> Queue_;
  std::mutex Producers_;
  IWaker &Consumer_;
  std::atomic<std::uint64_t> Refused_ = 0;
};

} // namespace dragonflylock

#endif
