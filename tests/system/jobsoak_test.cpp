#include "soakfleet.h"
#include "standinpool.h"

#include "http/internal/curlclient.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <thread>
#include <vector>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;
using Clock = SoakFleet::Clock;
using TimePoint = SoakFleet::TimePoint;

/// Callers who submit jobs to daemons and workers whose connections fail.
class JobSoak : public testing::TestWithParam<std::uint64_t> {
protected:
  static constexpr std::size_t WorkerCount = 4;
  /// Time after the last fault and the last submission by which every accepted
  /// job must have completed.
  static constexpr std::chrono::seconds CompletionLimit{14};

  JobSoak() : Fleet_(GetParam()), Pool_(Fleet_.store(), WorkerCount) {}
  ~JobSoak() override {
    if (!HasFailure())
      Fleet_.removeDirectory();
  }

  /// Submits jobs to a node until \p IsOver.
  void submit(std::size_t Node, const std::atomic<bool> &IsOver) {
    std::mt19937_64 Random(GetParam() * SoakFleet::NodeCount + Node);
    CurlClient Client;
    for (std::uint64_t Number = 0; !IsOver; ++Number) {
      std::this_thread::sleep_for(milliseconds(Random() % 200));
      const std::string Path = "/q0/" + soakJobId(Node, Number);
      const std::uint64_t WorkMs = 50 + Random() % 1500;
      const nlohmann::json Step = {
          {"count", 2}, {"cpu", 500}, {"mem_mb", 10}, {"estimate_ms", WorkMs}};
      const nlohmann::json Job = {{"spec", std::to_string(WorkMs)},
                                  {"steps", nlohmann::json::array({Step})}};
      if (!Fleet_.submit(Client, Node, Path, Job.dump()))
        continue;
      const std::lock_guard Lock(Mutex_);
      Accepted_.push_back(Path);
    }
  }

  /// Begins or ends a fault on the way to a worker.
  void playWorkerFault(std::size_t Worker) {
    switch (Fleet_.pick(0, 3)) {
    case 0:
      Pool_.link(Worker).setMode(TcpRelay::Mode::Swallow);
      return;
    case 1:
      Pool_.link(Worker).setMode(TcpRelay::Mode::Pass);
      return;
    default:
      Pool_.link(Worker).silenceOpenConnections();
    }
  }

  void playFaults(milliseconds Duration) {
    const TimePoint Start = Clock::now();
    std::array<TimePoint, SoakFleet::NodeCount + WorkerCount> NextFault;
    NextFault.fill(Start + milliseconds(2500));
    while (Clock::now() < Start + Duration) {
      std::this_thread::sleep_for(milliseconds(5));
      for (std::size_t Each = 0; Each < NextFault.size(); ++Each) {
        if (Clock::now() < NextFault[Each])
          continue;
        if (Each < SoakFleet::NodeCount)
          Fleet_.playFault(Each);
        else
          playWorkerFault(Each - SoakFleet::NodeCount);
        NextFault[Each] = Clock::now() + Fleet_.pickTime(50, 5000);
      }
    }
    Fleet_.endFaults();
    for (std::size_t Worker = 0; Worker < WorkerCount; ++Worker)
      Pool_.link(Worker).setMode(TcpRelay::Mode::Pass);
  }

  SoakFleet Fleet_;
  StandInPool Pool_;
  std::mutex Mutex_;
  /// Paths of the jobs that were accepted.
  std::vector<std::string> Accepted_;
};

TEST_P(JobSoak, EveryAcceptedJobCompletesAndNoTaskRunsTwice) {
  std::atomic<bool> IsOver = false;
  std::vector<std::thread> Callers;
  for (std::size_t Node = 0; Node < SoakFleet::NodeCount; ++Node)
    Callers.emplace_back([this, Node, &IsOver] { submit(Node, IsOver); });
  playFaults(milliseconds(numberFrom("SOAK_MILLISECONDS", 15'000)));
  const TimePoint FaultsEnded = Clock::now();
  IsOver = true;
  for (std::thread &Each : Callers)
    Each.join();
  for (const std::string &Path : Fleet_.awaitJobs(
           Accepted_, {"completed"}, FaultsEnded + CompletionLimit))
    ADD_FAILURE() << "seed " << GetParam() << ": " << Path
                  << " was accepted and has not completed; logs in "
                  << Fleet_.directory();
  for (const std::string &Fault : Pool_.faults())
    ADD_FAILURE() << "seed " << GetParam() << ": " << Fault << "; logs in "
                  << Fleet_.directory();
  EXPECT_GT(Accepted_.size(), 0U);
  RecordProperty("accepted", std::to_string(Accepted_.size()));
}

INSTANTIATE_TEST_SUITE_P(Seeds, JobSoak,
                         testing::Range(soakSeeds().first, soakSeeds().second));

} // namespace
} // namespace dragonflylock
