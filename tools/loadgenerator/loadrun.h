#ifndef DRAGONFLYLOCK_TOOLS_LOADGENERATOR_LOADRUN_H
#define DRAGONFLYLOCK_TOOLS_LOADGENERATOR_LOADRUN_H

#include "common/delayedexecutor.h"
#include "forward/internal/curlendpointclient.h"
#include "forward/iofferlistener.h"
#include "global/internal/systemclock.h"
#include "loadgenerator/loadtypes.h"

#include <atomic>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace dragonflylock {

/// Offers requests at a stated rate whatever the answers, and keeps what
/// became of each. A request that was stated as not run, or that never left
/// this process, is tried again at another target.
class LoadRun : public IOfferListener {
public:
  explicit LoadRun(LoadOptions Chosen);
  ~LoadRun() override;

  /// Offers the load and waits for the answers.
  void run();
  /// \returns all requests.
  const std::vector<LoadRequest> &requests() const { return Requests_; }
  void onOfferCompleted(CompletedOffer Ended) override;

private:
  LoadRequest makeRequest(std::size_t Number);
  HttpRequest httpRequest(const LoadRequest &Wanted, std::size_t Number) const;
  void send(std::size_t Number);
  SocketAddress chooseTarget();
  LoadResult judge(const LoadRequest &Wanted,
                   const CompletedOffer &Ended) const;
  void probeTargets();

  LoadOptions Options_;
  SystemClock Clock_;
  std::string RunId_;
  std::mt19937 Random_;
  std::vector<LoadRequest> Requests_;
  std::vector<TimePoint> Due_;
  std::atomic<std::size_t> Left_ = 0;
  std::mutex TargetMutex_;
  std::vector<bool> IsReady_;
  std::size_t NextTarget_ = 0;
  std::atomic<bool> IsStopping_ = false;
  std::thread Prober_;
  DelayedExecutor Retries_;
  CurlEndpointClient Client_;
};

} // namespace dragonflylock

#endif
