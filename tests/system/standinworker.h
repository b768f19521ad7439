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
/// leases, and lists their ends until these are acknowledged. It may crash and
/// start again under its id: each of its lifetimes has a clock of its own and
/// knows nothing of the former. Not thread-safe; its calls come under the lock
/// of StandInPool.
class StandInWorker {
public:
  using Clock = std::chrono::steady_clock;
  using Json = nlohmann::json;

  /// begin() must follow.
  /// \param Ledger must outlive the worker.
  StandInWorker(std::string Id, RunLedger &Ledger);

  const std::string &id() const { return Id_; }
  /// \returns when this lifetime began, in milliseconds since 1970.
  std::int64_t born() const { return BornMs_; }
  /// Ends all runs and forgets all that the worker knows.
  void crash();
  /// Begins the next lifetime.
  /// \param ClockStart what its clock shows at first.
  /// \param ClockRate how fast its clock goes, 1 for a true clock.
  void begin(std::chrono::milliseconds ClockStart, double ClockRate);
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

  /// \returns what the worker's clock shows.
  std::int64_t nowMs() const;
  /// Notes an event of a run.
  void note(const std::string &Task, std::uint64_t Run,
            const std::string &What);
  std::pair<int, Json> start(const Json &Body);
  void finish(const std::string &Task, const std::string &How);
  void acknowledge(std::uint64_t LastSeen);

  std::string Id_;
  RunLedger &Ledger_;
  std::int64_t BornMs_ = 0;
  Clock::time_point Began_;
  std::chrono::milliseconds ClockStart_{0};
  double ClockRate_ = 1;
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
