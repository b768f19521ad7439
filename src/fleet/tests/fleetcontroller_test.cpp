#include "configuration/fleetconfiguration.h"
#include "fleet/fleetcodec.h"
#include "fleet/fleetcontroller.h"
#include "fleet/fleeterrors.h"
#include "fleet/instancerowcodec.h"
#include "fleet/rendezvous.h"
#include "fleet/tests/mocks/modelfleet.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::seconds;

TEST(FleetController, MovesAnInstanceOnceItIsQuiescent) {
  ModelFleet Fleet(8);
  FleetController &Controller = Fleet.controller();
  ASSERT_TRUE(
      Controller.beginMove(Fleet.configuration(), "w0", "mending", "ana"));
  EXPECT_EQ(Fleet.row("w0").Phase_, InstancePhase::Leaving);
  Fleet.runRound();
  Fleet.advance(seconds(60));
  Fleet.runRound();
  // The entry instance in the zone of "w0" has not acknowledged the epoch.
  EXPECT_EQ(Fleet.row("w0").Phase_, InstancePhase::Leaving);
  Fleet.acknowledge("w0", "near");
  Fleet.runRound();
  EXPECT_EQ(Fleet.row("w0").Pool_, "mending");
  EXPECT_EQ(Fleet.row("w0").Phase_, InstancePhase::Serving);
  EXPECT_EQ(Fleet.pool("rota").Members_.size(), 7U);
  EXPECT_TRUE(Fleet.pool("rota").OutOfService_.empty());
  EXPECT_TRUE(Fleet.pool("mending").Members_.contains("w0"));
}

TEST(FleetController, WaitsForTheLeaseOfOtherZones) {
  ModelFleet Fleet(8);
  Fleet.controller().beginMove(Fleet.configuration(), "w0", "mending", "ana");
  Fleet.acknowledge("w0", "near");
  Fleet.runRound();
  Fleet.advance(seconds(15));
  Fleet.runRound();
  EXPECT_EQ(Fleet.row("w0").Phase_, InstancePhase::Leaving);
  Fleet.advance(seconds(10));
  Fleet.runRound();
  EXPECT_EQ(Fleet.row("w0").Phase_, InstancePhase::Serving);
}

TEST(FleetController, AnAcknowledgementOfAnEarlierEpochDoesNotCount) {
  ModelFleet Fleet(8);
  Fleet.acknowledge("w0", "near");
  Fleet.acknowledge("w0", "far");
  Fleet.controller().beginMove(Fleet.configuration(), "w0", "mending", "ana");
  Fleet.runRound();
  Fleet.runRound();
  EXPECT_EQ(Fleet.row("w0").Phase_, InstancePhase::Leaving);
}

TEST(FleetController, RefusesMovesThatExceedTheBudget) {
  ModelFleet Fleet(8);
  FleetController &Controller = Fleet.controller();
  EXPECT_TRUE(
      Controller.beginMove(Fleet.configuration(), "w0", "mending", "a"));
  auto Second =
      Controller.beginMove(Fleet.configuration(), "w1", "mending", "a");
  ASSERT_FALSE(Second);
  EXPECT_EQ(Second.error().kind(), FleetErrc::BudgetExhausted);
  auto Again =
      Controller.beginMove(Fleet.configuration(), "w0", "mending", "a");
  EXPECT_EQ(Again.error().kind(), FleetErrc::NotServing);
  auto Unknown = Controller.beginMove(Fleet.configuration(), "w0", "x", "a");
  EXPECT_EQ(Unknown.error().kind(), FleetErrc::UnknownPool);
}

TEST(FleetController, OnlyOneOfTwoControllersSpendsTheBudget) {
  ModelFleet Fleet(8);
  // Enrols the members first, so that the next transaction is that of the
  // move.
  Fleet.runRound();
  FleetController Other(Fleet.platform(), Fleet.clock(), Fleet.trace());
  Fleet.beforeNextTransaction([&] {
    EXPECT_TRUE(Other.beginMove(Fleet.configuration(), "w1", "mending", "b"));
  });
  EXPECT_FALSE(Fleet.controller().beginMove(Fleet.configuration(), "w0",
                                            "mending", "a"));
  EXPECT_EQ(Fleet.pool("rota").OutOfService_, std::set<std::string>{"w1"});
}

TEST(FleetController, AWaveMaintainsEveryInstanceWithinTheBudget) {
  ModelFleet Fleet(12);
  ASSERT_TRUE(Fleet.controller().startWave("ana", "kernel"));
  EXPECT_EQ(Fleet.controller().startWave("bob", "x").error().kind(),
            FleetErrc::WaveActive);
  int Rounds = Fleet.runWave(WaveState::Done);
  EXPECT_GE(Fleet.lowestInService(), 9U);
  for (int Index = 0; Index < 12; ++Index)
    EXPECT_EQ(Fleet.generation("w" + std::to_string(Index)), 2U);
  std::cout << "rounds: " << Rounds
            << ", lowest in service: " << Fleet.lowestInService() << "\n";
}

TEST(FleetController, AWaveCountsFailuresBeforeAndDuringIt) {
  ModelFleet Fleet(12);
  Fleet.fail("w0");
  Fleet.controller().startWave("ana", "kernel");
  for (int Round = 0; Round < 5; ++Round)
    Fleet.runWaveRound();
  Fleet.fail("w1");
  for (int Round = 0; Round < 40; ++Round)
    Fleet.runWaveRound();
  EXPECT_GE(Fleet.lowestInService(), 9U);
}

TEST(FleetController, AWaveHaltsWhenAnInstanceDoesNotReturnAndResumes) {
  ModelFleet Fleet(12);
  Fleet.suppressReboots("w3");
  Fleet.controller().startWave("ana", "kernel");
  Fleet.runWave(WaveState::Halted);
  EXPECT_NE(Fleet.wave().Reason_.find("w3"), std::string::npos);
  EXPECT_TRUE(Fleet.hasAuditContaining("w3"));
  auto Before = Fleet.pool("rota").OutOfService_;
  Fleet.runWaveRound();
  EXPECT_EQ(Fleet.pool("rota").OutOfService_.size(), Before.size());
  Fleet.performSuppressedReboots();
  EXPECT_TRUE(Fleet.controller().setWaveState(
      WaveState::Halted, WaveState::Running, "ana", "w3 was repaired"));
  Fleet.runWave(WaveState::Done);
  EXPECT_GE(Fleet.lowestInService(), 9U);
}

TEST(FleetController, TakesNothingOutWhileTheTableIsDown) {
  ModelFleet Fleet(12);
  Fleet.controller().startWave("ana", "kernel");
  Fleet.runWaveRound();
  Fleet.setTableDown(true);
  for (int Round = 0; Round < 10; ++Round)
    Fleet.runWaveRound();
  Fleet.setTableDown(false);
  Fleet.runWave(WaveState::Done);
  EXPECT_GE(Fleet.lowestInService(), 9U);
}

TEST(FleetController, TwoControllersAndLostResponsesKeepTheBudget) {
  for (int LostAt = 0; LostAt < 40; ++LostAt) {
    ModelFleet Fleet(12);
    Fleet.controller().startWave("ana", "kernel");
    FleetController Other(Fleet.platform(), Fleet.clock(), Fleet.trace());
    Fleet.loseResponseAfter(LostAt);
    Fleet.runWave(WaveState::Done, &Other);
    EXPECT_GE(Fleet.lowestInService(), 9U);
  }
}

TEST(Rendezvous, MovesOnlyTheKeysOfTheRemovedMember) {
  std::vector<std::string> Members{"a", "b", "c", "d"};
  std::vector<std::string> Fewer{"a", "b", "d"};
  int MovedKeys = 0;
  for (int Number = 0; Number < 200; ++Number) {
    std::string Name = "pool-" + std::to_string(Number);
    std::string Before = chooseMember(Name, Members);
    std::string After = chooseMember(Name, Fewer);
    if (Before == "c")
      ++MovedKeys;
    else
      EXPECT_EQ(After, Before);
  }
  EXPECT_GT(MovedKeys, 20);
  EXPECT_EQ(chooseMember("x", {}), "");
}

} // namespace
} // namespace dragonflylock
