#include "configuration/fleetconfiguration.h"
#include "routing/instanceregistry.h"
#include "routing/internal/leastoutstandingselector.h"
#include "routing/requestengine.h"
#include "routing/tests/mocks/enginedriver.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

TEST(RequestEngine, RelaysACompleteAnswer) {
  EngineDriver Driver;
  Driver.request("GET");
  ASSERT_EQ(Driver.offers().size(), 1U);
  Driver.endOffer(AnswerFault::None, true);
  EXPECT_TRUE(Driver.isRelayed());
  EXPECT_EQ(Driver.engine().activeRequests(), 0U);
}

TEST(RequestEngine, RefusesWithoutConfigurationOrRoute) {
  RequestEngine Engine("a", std::make_unique<LeastOutstandingSelector>("a"));
  RequestHead Head;
  Head.Id_ = 1;
  auto Actions = Engine.onRequest(TimePoint(), Head);
  ASSERT_EQ(Actions.size(), 1U);
  EXPECT_EQ(std::get<FailAction>(Actions[0]).Kind_,
            RoutingErrc::NoConfiguration);
  EngineDriver Driver;
  Driver.request("GET", "", "/elsewhere");
  EXPECT_EQ(Driver.lastFailure().Kind_, RoutingErrc::NoRoute);
  EXPECT_EQ(Driver.lastFailure().Outcome_, Outcome::NotRun);
}

TEST(RequestEngine, RefusesOversizedHeadsAndBodies) {
  EngineDriver Driver;
  RequestHead Head = Driver.makeHead("POST", "", "/rota");
  Head.BodySize_ = 2U << 20U;
  Driver.request(Head);
  EXPECT_EQ(Driver.lastFailure().Kind_, RoutingErrc::BodyTooLarge);
  Head.BodySize_ = 0;
  Head.HeadSize_ = 1U << 20U;
  Driver.request(Head);
  EXPECT_EQ(Driver.lastFailure().Kind_, RoutingErrc::HeadTooLarge);
}

TEST(RequestEngine, NeverRepeatsARequestThatIsNotIdempotent) {
  for (AnswerFault Fault :
       {AnswerFault::Lost, AnswerFault::Truncated, AnswerFault::Timeout,
        AnswerFault::Unframed, AnswerFault::TooLarge}) {
    EngineDriver Driver;
    Driver.request("POST");
    Driver.endOffer(Fault, true);
    EXPECT_EQ(Driver.offers().size(), 1U);
    EXPECT_EQ(Driver.lastFailure().Outcome_, Outcome::Unknown);
  }
}

TEST(RequestEngine, TriesAnotherInstanceWhereNoByteWasOffered) {
  EngineDriver Driver;
  Driver.request("POST");
  Driver.endOffer(AnswerFault::Lost, false);
  ASSERT_EQ(Driver.offers().size(), 2U);
  EXPECT_NE(Driver.offers()[0].Instance_, Driver.offers()[1].Instance_);
}

TEST(RequestEngine, RetriesIdempotentRequestsWithinTheBudget) {
  EngineDriver Driver;
  // The budget allows one retry for every five requests.
  constexpr int Requests = 50;
  int Retries = 0;
  for (int Number = 0; Number < Requests; ++Number) {
    Driver.request("GET");
    std::size_t Before = Driver.offers().size();
    Driver.endOffer(AnswerFault::Lost, true);
    if (Driver.offers().size() == Before)
      continue;
    ++Retries;
    Driver.endOffer(AnswerFault::None, true);
  }
  EXPECT_EQ(Retries, Requests / 5);
}

TEST(RequestEngine, RouteMayStateThatPostIsIdempotent) {
  EngineDriver Driver;
  for (int Number = 0; Number < 5; ++Number) {
    Driver.request("GET");
    Driver.endOffer(AnswerFault::None, true);
  }
  std::size_t Before = Driver.offers().size();
  Driver.request("POST", "", "/rota/search");
  Driver.endOffer(AnswerFault::Lost, true);
  EXPECT_EQ(Driver.offers().size(), Before + 2);
}

TEST(RequestEngine, OffersAKeyedRequestOnlyAfterItsClaim) {
  EngineDriver Driver;
  Driver.request("POST", "key");
  EXPECT_TRUE(Driver.offers().empty());
  ASSERT_EQ(Driver.claims(), 1U);
  Driver.endClaim(ClaimOutcome::Granted);
  EXPECT_EQ(Driver.offers().size(), 1U);
  Driver.endOffer(AnswerFault::None, true);
  ASSERT_EQ(Driver.settlements().size(), 1U);
  EXPECT_EQ(Driver.settlements()[0].Kind_, SettleClaimAction::Kind::KeepAnswer);
}

TEST(RequestEngine, ReleasesAClaimGrantedAfterTheDeadline) {
  EngineDriver Driver;
  Driver.request("POST", "key");
  Driver.advance(milliseconds(20'000));
  // It is unknown whether an earlier request with the key ran.
  EXPECT_EQ(Driver.lastFailure().Outcome_, Outcome::Unknown);
  Driver.endClaim(ClaimOutcome::Granted);
  EXPECT_TRUE(Driver.offers().empty());
  ASSERT_EQ(Driver.settlements().size(), 1U);
  EXPECT_EQ(Driver.settlements()[0].Kind_, SettleClaimAction::Kind::Release);
}

TEST(RequestEngine, QueuesUpToTheLimitAndShedsTheRest) {
  EngineDriver Driver;
  constexpr int Slots = 2 * 2;
  constexpr int Limit = 3;
  for (int Number = 0; Number < Slots + Limit; ++Number)
    Driver.request("GET");
  EXPECT_EQ(Driver.offers().size(), 4U);
  EXPECT_EQ(Driver.failures().size(), 0U);
  Driver.request("GET");
  ASSERT_EQ(Driver.failures().size(), 1U);
  EXPECT_EQ(Driver.lastFailure().Kind_, RoutingErrc::QueueFull);
  EXPECT_EQ(Driver.lastFailure().Outcome_, Outcome::NotRun);
  Driver.endOffer(AnswerFault::None, true);
  EXPECT_EQ(Driver.offers().size(), 5U);
}

TEST(RequestEngine, OffersNothingNewToALeavingInstance) {
  EngineDriver Driver;
  Driver.markLeaving("w1");
  for (int Number = 0; Number < 4; ++Number)
    Driver.request("GET");
  for (const OfferAction &Offer : Driver.offers())
    EXPECT_EQ(Offer.Instance_, "w2");
}

TEST(RequestEngine, OffersQueuedRequestsWhenAnInstanceBecomesAvailable) {
  EngineDriver Driver;
  Driver.markLeaving("w1");
  Driver.markLeaving("w2");
  Driver.request("GET");
  EXPECT_TRUE(Driver.offers().empty());
  Driver.restart("w1");
  EXPECT_EQ(Driver.offers().size(), 1U);
}

TEST(RequestEngine, UsesOtherZonesOnlyUnderALease) {
  EngineDriver Driver("b");
  Driver.request("GET");
  ASSERT_EQ(Driver.offers().size(), 1U);
  EXPECT_EQ(Driver.offers()[0].UsableUntil_, Driver.now() + ViewLease);
  Driver.advance(ViewLease);
  Driver.request("GET");
  EXPECT_EQ(Driver.offers().size(), 1U);
  Driver.refreshView(true);
  EXPECT_EQ(Driver.offers().size(), 2U);
}

TEST(RequestEngine, UsesItsOwnZoneWithoutALeaseOnceRegistered) {
  for (bool IsRegistered : {true, false}) {
    EngineDriver Driver("a");
    Driver.refreshView(IsRegistered);
    Driver.advance(ViewLease);
    Driver.request("GET");
    EXPECT_EQ(Driver.offers().size(), IsRegistered ? 1U : 0U);
  }
}

TEST(InstanceRegistry, LeavingHoldsUntilAHigherGeneration) {
  EngineDriver Driver;
  InstanceRegistry &Registry = Driver.registry();
  Registry.onLeaving({"w1", 1});
  EXPECT_FALSE(InstanceRegistry::isEligible(Registry.instances().at("w1")));
  // A list that lags behind still shows the instance as live.
  Registry.onList(Driver.list());
  EXPECT_FALSE(InstanceRegistry::isEligible(Registry.instances().at("w1")));
  Driver.restart("w1");
  EXPECT_TRUE(InstanceRegistry::isEligible(Registry.instances().at("w1")));
  // A late message reports the earlier generation as leaving.
  Registry.onLeaving({"w1", 1});
  EXPECT_TRUE(InstanceRegistry::isEligible(Registry.instances().at("w1")));
}

TEST(InstanceRegistry, IgnoresRowsOfLowerEpochsAndOlderLists) {
  EngineDriver Driver;
  InstanceRegistry &Registry = Driver.registry();
  Registry.onRow("w1", {"mending", 5, InstancePhase::Serving, {}, {}, 0, 0});
  Registry.onRow("w1", {"rota", 4, InstancePhase::Serving, {}, {}, 0, 0});
  EXPECT_EQ(Registry.instances().at("w1").Row_->Pool_, "mending");
  InstanceList Old = Driver.list();
  Driver.restart("w1");
  Registry.onList(Old);
  EXPECT_EQ(Registry.instances().at("w1").Listed_->Generation_, 2U);
}

} // namespace
} // namespace dragonflylock
