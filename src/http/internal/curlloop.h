#ifndef DRAGONFLYLOCK_HTTP_INTERNAL_CURLLOOP_H
#define DRAGONFLYLOCK_HTTP_INTERNAL_CURLLOOP_H

#include "global/boundedring.h"
#include "http/connectionlimits.h"
#include "http/internal/curlpoller.h"
#include "http/internal/curltransfer.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

namespace dragonflylock {

/// Limits of a loop of transfers.
struct CurlLoopLimits {
  /// Time in which a connection must be made.
  std::chrono::milliseconds Connect_{1000};
  ConnectionLimits Connections_;
  /// Transfer objects kept for later requests.
  std::size_t KeptExchanges_ = 0;
  /// Requests that may wait for the thread.
  std::size_t RingCapacity_ = 0;
};

/// Carries out many transfers at a time by libcurl's multi interface, on a
/// thread of its own. \p Wanted is what each transfer is for; it must be
/// default constructible.
template <typename Wanted> class CurlLoop {
public:
  /// One transfer and what it is for.
  struct Exchange {
    CurlTransfer Transfer_;
    Wanted Wanted_;
  };
  /// Prepares the transfer for what is wanted; called on the loop's thread.
  /// \returns whether to begin it; it does not end otherwise.
  using Prepare = std::function<bool(Exchange &)>;
  /// Takes a transfer that has ended; called on the loop's thread.
  using Ended = std::function<void(Exchange &)>;

  CurlLoop(CurlLoopLimits Limits, Prepare OnPrepare, Ended OnEnded)
      : Limits_(Limits), OnPrepare_(std::move(OnPrepare)),
        OnEnded_(std::move(OnEnded)), Poller_(Limits.Connections_),
        Waiting_(Limits.RingCapacity_, Poller_) {}
  ~CurlLoop() { stop(); }
  CurlLoop(const CurlLoop &) = delete;
  CurlLoop &operator=(const CurlLoop &) = delete;

  void start() {
    Thread_ = std::thread([this] { run(); });
  }

  /// Ends the thread; transfers under way are given up without an end.
  void stop() {
    IsStopping_ = true;
    Poller_.wake();
    if (Thread_.joinable())
      Thread_.join();
    for (auto &[Transfer, Each] : Active_)
      Poller_.remove(*Transfer);
    Active_.clear();
  }

  /// \returns false where the ring is full.
  bool tryPut(Wanted Next) { return Waiting_.tryPut(std::move(Next)); }

private:
  /// Longest sleep; new requests wake the loop.
  static constexpr std::chrono::milliseconds LongestSleep{1000};

  void run() {
    while (!IsStopping_) {
      Waiting_.drain([this](Wanted Next) { begin(std::move(Next)); });
      Poller_.drive(LongestSleep);
      collectEnded();
    }
  }

  void begin(Wanted Next) {
    std::unique_ptr<Exchange> Started;
    if (Idle_.empty()) {
      Started = std::make_unique<Exchange>();
    } else {
      Started = std::move(Idle_.back());
      Idle_.pop_back();
    }
    Started->Wanted_ = std::move(Next);
    if (!OnPrepare_(*Started)) {
      putBack(std::move(Started));
      return;
    }
    CurlTransfer &Transfer = Started->Transfer_;
    curl_easy_setopt(Transfer.handle(), CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(Limits_.Connect_.count()));
    Poller_.add(Transfer);
    Active_.emplace(&Transfer, std::move(Started));
  }

  void collectEnded() {
    CURLcode Code = CURLE_OK;
    while (CurlTransfer *Transfer = Poller_.takeEnded(Code)) {
      Transfer->finish(Code);
      Poller_.remove(*Transfer);
      if (Transfer->hasKeptConnectionFailed())
        Poller_.endSuspectConnections(*Transfer);
      auto Found = Active_.find(Transfer);
      std::unique_ptr<Exchange> Over = std::move(Found->second);
      Active_.erase(Found);
      OnEnded_(*Over);
      putBack(std::move(Over));
    }
  }

  void putBack(std::unique_ptr<Exchange> Over) {
    Over->Wanted_ = Wanted();
    if (Idle_.size() < Limits_.KeptExchanges_)
      Idle_.push_back(std::move(Over));
  }

  CurlLoopLimits Limits_;
  Prepare OnPrepare_;
  Ended OnEnded_;
  CurlPoller Poller_;
  BoundedRing<Wanted> Waiting_;
  std::map<CurlTransfer *, std::unique_ptr<Exchange>> Active_;
  std::vector<std::unique_ptr<Exchange>> Idle_;
  std::atomic<bool> IsStopping_ = false;
  std::thread Thread_;
};

} // namespace dragonflylock

#endif
