#ifndef DRAGONFLYLOCK_TESTS_SYSTEM_STANDINWORKER_H
#define DRAGONFLYLOCK_TESTS_SYSTEM_STANDINWORKER_H

#include "global/socketaddress.h"
#include "http/httptypes.h"
#include "http/ihttphandler.h"
#include "http/internal/restinioserver.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace dragonflylock {

struct RunLedger;

/// One worker of a pool: runs tasks for the time that their job states, under
/// leases, and lists their ends until these are acknowledged. Not thread-safe;
/// its calls come under the lock of StandInPool.
class StandInWorker {
public:
  using Clock = std::chrono::steady_clock;
  using Json = nlohmann::json;

  /// \param Ledger must outlive the worker.
  StandInWorker(std::string Id, RunLedger &Ledger);

  const std::string &id() const { return Id_; }
  /// \returns status and body of the answer to an order.
  std::pair<int, Json> order(const std::string &Path, const Json &Body);
  /// Ends the runs whose work is done or whose lease has expired.
  void tick();
  /// \returns whether there are ends that have not been acknowledged.
  bool hasEnds() const { return !Ends_.empty(); }
  /// \returns the lists of runs and ends.
  Json lists() const;

private:
  struct Run {
    std::uint64_t Number_ = 0;
    std::int64_t EndsAtMs_ = 0;
  };
  struct End {
    std::uint64_t Sequence_ = 0;
    std::string Task_;
    std::uint64_t Run_ = 0;
    std::string How_;
  };

  static std::int64_t nowMs();
  std::pair<int, Json> start(const Json &Body);
  void finish(const std::string &Task, const std::string &How);
  void acknowledge(std::uint64_t LastSeen);

  std::string Id_;
  RunLedger &Ledger_;
  std::int64_t BornMs_;
  std::uint64_t Token_ = 0;
  std::int64_t LeaseEndMs_ = 0;
  std::uint64_t NextEnd_ = 1;
  std::map<std::string, Run> Runs_;
  /// Highest run of each task that has ended here.
  std::map<std::string, std::uint64_t> Over_;
  std::vector<End> Ends_;
};

} // namespace dragonflylock

#endif
