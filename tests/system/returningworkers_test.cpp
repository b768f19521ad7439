#include "soakfleet.h"
#include "standinpool.h"

#include "http/internal/curlclient.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fstream>
#include <thread>
#include <vector>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;
using Clock = SoakFleet::Clock;
using TimePoint = SoakFleet::TimePoint;

/// Workers that crash together while long tasks run, come back under their old
/// ids and are cut off soon after, for daemons that fail beside that.
class ReturningWorkersSoak : public testing::TestWithParam<std::uint64_t> {
protected:
  static constexpr std::size_t WorkerCount = 8;
  /// Workers that crash, unless the whole pool does.
  static constexpr std::size_t CrashingWorkers = 5;
  /// Time after the last fault by which every accepted job must have ended.
  static constexpr std::chrono::seconds EndLimit{45};

  /// What the workers that crash go through together.
  enum class Stage { Up, HoldingBack, Down, Back, CutOff };

  ReturningWorkersSoak()
      : Fleet_(GetParam()), Pool_(Fleet_.store(), WorkerCount, GetParam()) {
    const bool IsWholePool = Fleet_.pick(0, 3) == 0;
    Crashing_ = IsWholePool ? WorkerCount : CrashingWorkers;
  }
  ~ReturningWorkersSoak() override {
    if (!HasFailure() && numberFrom("SOAK_KEEP", 0) == 0) {
      Fleet_.removeDirectory();
      return;
    }
    std::ofstream Log(Fleet_.directory() + "/workers.log");
    for (const std::string &Event : Pool_.events())
      Log << Event << "\n";
  }

  /// Submits jobs to a node until \p IsOver, most of them with long tasks.
  void submit(std::size_t Node, const std::atomic<bool> &IsOver) {
    std::mt19937_64 Random(GetParam() * SoakFleet::NodeCount + Node);
    CurlClient Client;
    for (std::uint64_t Number = 0; !IsOver; ++Number) {
      std::this_thread::sleep_for(milliseconds(300 + Random() % 1200));
      const std::string Path = "/q0/" + soakJobId(Node, Number);
      const bool IsLong = Random() % 4 != 0;
      const std::uint64_t WorkMs =
          IsLong ? 8000 + Random() % 4000 : 50 + Random() % 1500;
      const nlohmann::json Step = {
          {"count", 3}, {"cpu", 500}, {"mem_mb", 10}, {"estimate_ms", WorkMs}};
      const nlohmann::json Job = {{"spec", std::to_string(WorkMs)},
                                  {"steps", nlohmann::json::array({Step})}};
      if (!Fleet_.submit(Client, Node, Path, Job.dump()))
        continue;
      const std::lock_guard Lock(Mutex_);
      Accepted_.push_back(Path);
    }
  }

  void cutOff(bool IsCut) {
    for (std::size_t Worker = 0; Worker < Crashing_; ++Worker)
      Pool_.link(Worker).setMode(IsCut ? TcpRelay::Mode::Swallow
                                       : TcpRelay::Mode::Pass);
    Pool_.note(IsCut ? "cut off" : "in touch again");
  }

  void holdBackOrders() {
    for (std::size_t Worker = 0; Worker < Crashing_; ++Worker)
      Pool_.holdBackOrders(Worker);
  }

  void crash() {
    const auto Ends = static_cast<StandInPool::Connections>(Fleet_.pick(0, 2));
    for (std::size_t Worker = 0; Worker < Crashing_; ++Worker)
      Pool_.crash(Worker, Ends);
  }

  void comeBack() {
    for (std::size_t Worker = 0; Worker < Crashing_; ++Worker)
      Pool_.comeBack(Worker);
  }

  void restartNode() {
    const std::size_t Node = Fleet_.pick(0, SoakFleet::NodeCount - 1);
    Pool_.note("node " + std::to_string(Node) + " is restarted");
    Fleet_.restart(Node);
  }

  /// Takes the workers that crash one stage further.
  /// \returns the time until the next stage.
  milliseconds advance() {
    switch (Stage_) {
    case Stage::Up:
      Stage_ = Stage::HoldingBack;
      holdBackOrders();
      return Fleet_.pickTime(0, 2000);
    case Stage::HoldingBack:
      Stage_ = Stage::Down;
      crash();
      return Fleet_.pickTime(300, 2000);
    case Stage::Down:
      Stage_ = Stage::Back;
      comeBack();
      return Fleet_.pickTime(300, 4000);
    case Stage::Back:
      Stage_ = Stage::CutOff;
      cutOff(true);
      if (Fleet_.pick(0, 2) == 0)
        restartNode();
      return Fleet_.pickTime(6000, 9000);
    case Stage::CutOff:
      Stage_ = Stage::Up;
      cutOff(false);
      return Fleet_.pickTime(1000, 3000);
    }
    return milliseconds(0);
  }

  void playFaults(milliseconds Duration) {
    const TimePoint Start = Clock::now();
    std::array<TimePoint, SoakFleet::NodeCount> NextFault;
    NextFault.fill(Start + milliseconds(6000));
    TimePoint NextStage = Start + Fleet_.pickTime(4000, 7000);
    while (Clock::now() < Start + Duration) {
      std::this_thread::sleep_for(milliseconds(5));
      if (Clock::now() >= NextStage)
        NextStage = Clock::now() + advance();
      for (std::size_t Node = 0; Node < NextFault.size(); ++Node) {
        if (Clock::now() < NextFault[Node])
          continue;
        Fleet_.playFault(Node);
        NextFault[Node] = Clock::now() + Fleet_.pickTime(2000, 10'000);
      }
    }
    Fleet_.endFaults();
    while (Stage_ != Stage::Up)
      advance();
  }

  SoakFleet Fleet_;
  StandInPool Pool_;
  std::size_t Crashing_ = 0;
  Stage Stage_ = Stage::Up;
  std::mutex Mutex_;
  /// Paths of the jobs that were accepted.
  std::vector<std::string> Accepted_;
};

TEST_P(ReturningWorkersSoak, OrdersToAFormerLifetimeMakeNoTaskRunTwice) {
  std::atomic<bool> IsOver = false;
  std::vector<std::thread> Callers;
  for (std::size_t Node = 0; Node < SoakFleet::NodeCount; ++Node)
    Callers.emplace_back([this, Node, &IsOver] { submit(Node, IsOver); });
  playFaults(milliseconds(numberFrom("SOAK_MILLISECONDS", 30'000)));
  const TimePoint FaultsEnded = Clock::now();
  IsOver = true;
  for (std::thread &Each : Callers)
    Each.join();
  for (const std::string &Path : Fleet_.awaitJobs(
           Accepted_, {"completed", "failed"}, FaultsEnded + EndLimit))
    ADD_FAILURE() << "seed " << GetParam() << ": " << Path
                  << " was accepted and has not ended; logs in "
                  << Fleet_.directory();
  for (const std::string &Fault : Pool_.faults())
    ADD_FAILURE() << "seed " << GetParam() << ": " << Fault << "; logs in "
                  << Fleet_.directory();
  EXPECT_GT(Accepted_.size(), 0U);
  RecordProperty("accepted", std::to_string(Accepted_.size()));
}

/// \returns the seeds from the environment, or two at which tasks ran twice.
std::vector<std::uint64_t> seeds() {
  if (std::getenv("SOAK_FIRST") == nullptr)
    return {5, 18};
  std::vector<std::uint64_t> Seeds;
  for (auto [Seed, End] = soakSeeds(); Seed < End; ++Seed)
    Seeds.push_back(Seed);
  return Seeds;
}

INSTANTIATE_TEST_SUITE_P(Seeds, ReturningWorkersSoak,
                         testing::ValuesIn(seeds()));

} // namespace
} // namespace dragonflylock
