#include "testfleet.h"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <thread>
#include <vector>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr const char *Document = R"(
pools:
  - name: rota
routes:
  - prefix: /rota
    pool: rota
)";

class LeavingTest : public ::testing::Test {
protected:
  LeavingTest() : Fleet_(2) {
    Fleet_.configure(0, Document);
    for (std::size_t Index = 0; Index < 2; ++Index) {
      Fleet_.waitReady(Index);
      EXPECT_TRUE(TestFleet::eventually(
          [&] { return Fleet_.get(Index, "warm").Status_ == httpstatus::Ok; }));
    }
  }

  /// Sends \p Count requests to entry \p Index.
  /// \returns how many instance w0 read.
  std::size_t readsAtFirst(std::size_t Index, int Count) {
    std::size_t Before = Fleet_.readsAt(0);
    for (int Number = 0; Number < Count; ++Number)
      Fleet_.get(Index, "n");
    return Fleet_.readsAt(0) - Before;
  }
  bool receivesNothing(std::size_t Index) {
    constexpr int Enough = 30;
    return readsAtFirst(Index, Enough) == 0;
  }

  void TearDown() override { Fleet_.checkTraces(); }

  TestFleet Fleet_;
};

TEST_F(LeavingTest, GetsNothingNewOnceTheListShowsIt) {
  ASSERT_GT(readsAtFirst(0, 30), 0U);
  Fleet_.listInstance(0, "leaving", 1);
  for (std::size_t Index = 0; Index < 2; ++Index)
    EXPECT_TRUE(TestFleet::eventually([&] { return receivesNothing(Index); }));
  EXPECT_TRUE(receivesNothing(0));
  Fleet_.listInstance(0, "live", 2);
  EXPECT_TRUE(TestFleet::eventually([&] { return readsAtFirst(0, 30) > 0; }));
}

TEST_F(LeavingTest, PeersTellAnEntryThatCannotSeeTheList) {
  Fleet_.setPlatformLink(0, TcpRelay::Mode::Swallow);
  ASSERT_GT(readsAtFirst(0, 30), 0U);
  Fleet_.listInstance(0, "leaving", 1);
  EXPECT_TRUE(TestFleet::eventually([&] { return receivesNothing(0); }));
}

TEST_F(LeavingTest, ALaggingListDoesNotBringItBack) {
  Fleet_.listInstance(0, "leaving", 1);
  EXPECT_TRUE(TestFleet::eventually([&] { return receivesNothing(0); }));
  // From now on the list is served as it was before.
  Fleet_.setPlatformFaults(R"({"list_lag_ms":20000})");
  std::this_thread::sleep_for(milliseconds(500));
  EXPECT_TRUE(receivesNothing(0));
  EXPECT_TRUE(receivesNothing(1));
}

TEST_F(LeavingTest, AnEntryThatWakesOffersNothingToIt) {
  ASSERT_GT(readsAtFirst(0, 30), 0U);
  Fleet_.entry(0).signal(SIGSTOP);
  Fleet_.listInstance(0, "leaving", 1);
  EXPECT_TRUE(TestFleet::eventually([&] { return receivesNothing(1); }));
  Fleet_.entry(0).signal(SIGCONT);
  EXPECT_TRUE(TestFleet::eventually([&] { return receivesNothing(0); }));
}

TEST_F(LeavingTest, StoppedEntryFinishesWhileThePlatformIsDown) {
  std::thread Caller(
      [&] { EXPECT_EQ(Fleet_.post(0, "s", "", 1'500).Body_, "s\n"); });
  EXPECT_TRUE(TestFleet::eventually([&] { return Fleet_.reads("s") == 1; }));
  Fleet_.setPlatformFaults(R"({"mode":"down"})");
  Fleet_.entry(0).signal(SIGTERM);
  EXPECT_EQ(Fleet_.entry(0).wait(), 0);
  Caller.join();
}

TEST_F(LeavingTest, StoppedEntryFinishesWhatItHas) {
  std::vector<std::thread> Callers;
  std::atomic<int> Whole = 0;
  constexpr int Requests = 12;
  Callers.reserve(Requests);
  for (int Number = 0; Number < Requests; ++Number)
    Callers.emplace_back([&, Number] {
      std::string Id = "s" + std::to_string(Number);
      if (Fleet_.post(0, Id, "", 1'500).Body_ == Id + "\n")
        ++Whole;
    });
  EXPECT_TRUE(TestFleet::eventually(
      [&] { return Fleet_.reads("s0") + Fleet_.reads("s11") == 2; }));
  Fleet_.entry(0).signal(SIGTERM);
  EXPECT_EQ(Fleet_.entry(0).wait(), 0);
  for (std::thread &Each : Callers)
    Each.join();
  EXPECT_EQ(Whole, Requests);
}

TEST_F(LeavingTest, RollingEveryEntryUnderLoadLosesNothing) {
  std::string Targets;
  std::string Probes;
  std::string Endpoints;
  for (const SocketAddress &Each : Fleet_.callerPorts())
    Targets += Each.text() + ",";
  for (const SocketAddress &Each : Fleet_.operatorPorts())
    Probes += Each.text() + ",";
  for (const SocketAddress &Each : Fleet_.instances())
    Endpoints += Each.text() + ",";
  ChildProcess Load("dragonflylock-load",
                    {"--targets=" + Targets, "--probes=" + Probes,
                     "--endpoints=" + Endpoints, "--paths=/rota/x",
                     "--rate=200", "--duration=8s", "--post=30%", "--keyed=30%",
                     "--work=5ms", "--summary=rolling"},
                    ::testing::TempDir() + "/rolling.log");
  std::this_thread::sleep_for(milliseconds(500));
  for (std::size_t Index = 0; Index < 2; ++Index) {
    Fleet_.entry(Index).signal(SIGTERM);
    EXPECT_EQ(Fleet_.entry(Index).wait(), 0);
    Fleet_.startEntry(Index);
    Fleet_.waitReady(Index);
    // The load's balancer learns of readiness within its probing interval.
    std::this_thread::sleep_for(milliseconds(500));
  }
  EXPECT_EQ(Load.wait(), 0) << "see rolling.log";
}

} // namespace
} // namespace dragonflylock
