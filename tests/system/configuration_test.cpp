#include "testfleet.h"

#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <thread>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

std::string document(int Number) {
  return "pools:\n  - name: rota\n  - name: extra" + std::to_string(Number) +
         "\nroutes:\n  - prefix: /rota\n    pool: rota\n";
}

class ConfigurationTest : public ::testing::Test {
protected:
  ConfigurationTest() : Fleet_(3) {
    Fleet_.configure(0, document(1));
    waitForVersion(1);
  }

  void waitForVersion(std::uint64_t Version) {
    for (std::size_t Index = 0; Index < 3; ++Index)
      waitForVersion(Index, Version);
  }
  void waitForVersion(std::size_t Index, std::uint64_t Version) {
    EXPECT_TRUE(TestFleet::eventually([&] {
      return Fleet_.versionAt(Index) == Version;
    })) << "entry "
        << Index << ", version " << Version;
  }

  void TearDown() override { Fleet_.checkTraces(); }

  TestFleet Fleet_;
};

TEST_F(ConfigurationTest, ReachesAZoneThatIsCutOffFromThePlatform) {
  Fleet_.setPlatformLink(1, TcpRelay::Mode::Swallow);
  Fleet_.setPlatformLink(2, TcpRelay::Mode::Refuse);
  Fleet_.configure(0, document(2));
  waitForVersion(2);
}

TEST_F(ConfigurationTest, ReachesAFrozenEntryWhenItWakes) {
  Fleet_.entry(1).signal(SIGSTOP);
  Fleet_.configure(0, document(2));
  Fleet_.configure(0, document(3));
  Fleet_.entry(1).signal(SIGCONT);
  waitForVersion(3);
}

TEST_F(ConfigurationTest, DoesNotRevertToAStaleDocument) {
  Fleet_.configure(0, document(2));
  waitForVersion(2);
  Fleet_.setPlatformFaults(R"({"stale_configuration":true})");
  std::this_thread::sleep_for(milliseconds(1'000));
  waitForVersion(2);
  // An entry that starts now sees only the old version at the platform, and
  // must learn the new one from its peers.
  Fleet_.entry(2).signal(SIGKILL);
  Fleet_.startEntry(2);
  waitForVersion(2, 2);
}

TEST_F(ConfigurationTest, NewEntryLearnsFromPeersWhileThePlatformIsDown) {
  Fleet_.setPlatformFaults(R"({"mode":"down"})");
  Fleet_.entry(2).signal(SIGKILL);
  Fleet_.startEntry(2);
  waitForVersion(2, 1);
  Fleet_.waitReady(2);
}

TEST_F(ConfigurationTest, NewEntryServesNothingWithoutAnyVersion) {
  Fleet_.setPlatformFaults(R"({"mode":"down"})");
  Fleet_.setPeerLinks(2, TcpRelay::Mode::Refuse);
  Fleet_.entry(2).signal(SIGKILL);
  Fleet_.startEntry(2);
  HttpAnswer Answer;
  EXPECT_TRUE(TestFleet::eventually([&] {
    Answer = Fleet_.get(2, "x");
    return Answer.Status_ != 0;
  }));
  EXPECT_EQ(Answer.Status_, httpstatus::Unavailable);
  EXPECT_EQ(headerOf(Answer, "Dragonflylock-Outcome"), "not-run");
  Fleet_.setPeerLinks(2, TcpRelay::Mode::Pass);
  waitForVersion(2, 1);
}

TEST_F(ConfigurationTest, LostAnswerOfAnAcceptedChangeIsSettled) {
  Fleet_.setPlatformFaults(R"({"lose_writes":1})");
  Fleet_.configure(1, document(2));
  waitForVersion(2);
}

TEST_F(ConfigurationTest, EntryKilledDuringAcceptanceIsSettledByARepeat) {
  HttpRequest Change{"PUT", "/v1/configuration", {}, document(2)};
  Change.Headers_ = {{"Change-Id", "once"}, {"If-Match", "\"1\""}};
  Fleet_.setPlatformFaults(R"({"delay_ms":300})");
  auto First =
      std::async(std::launch::async, [&] { return Fleet_.operate(0, Change); });
  std::this_thread::sleep_for(milliseconds(800));
  Fleet_.entry(0).signal(SIGKILL);
  First.wait();
  Fleet_.setPlatformFaults("{}");
  EXPECT_EQ(Fleet_.operate(1, Change).Status_, httpstatus::Ok);
  Fleet_.startEntry(0);
  waitForVersion(2);
}

TEST_F(ConfigurationTest, AcceptsWhileThePlatformIsSlow) {
  Fleet_.setPlatformFaults(R"({"delay_ms":400})");
  Fleet_.configure(1, document(2));
  waitForVersion(2);
}

TEST_F(ConfigurationTest, CutOffZoneCatchesUpWhenItReturns) {
  Fleet_.setPlatformLink(2, TcpRelay::Mode::Swallow);
  Fleet_.setPeerLinks(2, TcpRelay::Mode::Swallow);
  Fleet_.configure(0, document(2));
  waitForVersion(0, 2);
  EXPECT_EQ(Fleet_.versionAt(2), 1U);
  Fleet_.setPeerLinks(2, TcpRelay::Mode::Pass);
  waitForVersion(2, 2);
}

} // namespace
} // namespace dragonflylock
