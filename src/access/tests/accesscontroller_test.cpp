#include "access/accesscontroller.h"
#include "customers/customer.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds ConfigurationDelay{3000};
constexpr milliseconds RevocationDelay{5000};

Customer customer(const std::string &Name, std::vector<std::string> Keys) {
  Customer Made;
  Made.Name_ = Name;
  Made.Keys_ = std::move(Keys);
  return Made;
}

class AccessControllerTest : public testing::Test {
protected:
  AccessControllerTest() {
    Access_.setCustomers(
        {customer("acme", {"key-a", "key-b"}), customer("birch", {"key-c"})});
    Access_.setProof({Start_});
  }

  AccessDecision decide(const std::vector<std::string_view> &Authorization,
                        milliseconds After = milliseconds(0)) const {
    return Access_.decide(Authorization, Start_ + After);
  }

  const TimePoint Start_ = TimePoint() + std::chrono::hours(1);
  AccessController Access_{ConfigurationDelay, RevocationDelay};
};

TEST_F(AccessControllerTest, TellsWhoseKeyItIs) {
  EXPECT_EQ(decide({"Bearer key-b"}).Customer_, "acme");
  EXPECT_EQ(decide({"bearer  key-c"}).Customer_, "birch");
  EXPECT_EQ(decide({"Bearer key-b"}).Verdict_, AccessVerdict::Granted);
}

// Guards against a malformed or unknown key that is taken for a customer's.
TEST_F(AccessControllerTest, DeniesCallsWithoutOneKnownKey) {
  const std::string Long = "Bearer " + std::string(4096, 'k');
  for (const auto &Headers : std::vector<std::vector<std::string_view>>{
           {},
           {""},
           {"key-a"},
           {"Bearer"},
           {"Bearer "},
           {"Basic key-a"},
           {"Bearer key-a key-b"},
           {"Bearer key-a", "Bearer key-a"},
           {"Bearer key"},
           {"Bearer key-a1"},
           {Long}}) {
    AccessDecision Decision = decide(Headers);
    EXPECT_EQ(Decision.Verdict_, AccessVerdict::Unauthorized);
    EXPECT_TRUE(Decision.Customer_.empty());
  }
}

// Guards against a key in logs: only the first digits of its digest identify
// it.
TEST_F(AccessControllerTest, IdentifiesKeysByPartOfTheirDigest) {
  AccessDecision Decision = decide({"Bearer no-such-key"});
  EXPECT_EQ(Decision.KeyId_.size(), 8U);
  EXPECT_EQ(Decision.KeyId_.find("key"), std::string::npos);
}

// Guards against a node that cannot reach the store and goes on accepting a key
// that was taken away.
TEST_F(AccessControllerTest, AcceptsNoKeyOnceItsRevocationCouldBeInForce) {
  EXPECT_EQ(decide({"Bearer key-a"}, milliseconds(4700)).Verdict_,
            AccessVerdict::Granted);
  EXPECT_EQ(decide({"Bearer key-a"}, RevocationDelay).Verdict_,
            AccessVerdict::Unproven);
  Access_.setProof({Start_ + RevocationDelay});
  EXPECT_EQ(decide({"Bearer key-a"}, RevocationDelay).Verdict_,
            AccessVerdict::Granted);
}

// Guards against a final denial of a key that a configuration has added which
// the node has not read yet.
TEST_F(AccessControllerTest, DeniesUnknownKeysOnlyByACurrentConfiguration) {
  EXPECT_EQ(decide({"Bearer new"}, ConfigurationDelay).Verdict_,
            AccessVerdict::Unauthorized);
  EXPECT_EQ(
      decide({"Bearer new"}, ConfigurationDelay + milliseconds(1)).Verdict_,
      AccessVerdict::Unproven);
  EXPECT_EQ(decide({}, ConfigurationDelay + milliseconds(1)).Verdict_,
            AccessVerdict::Unauthorized);
}

TEST_F(AccessControllerTest, KeepsKeysWithoutProofWhereRevocationMayBeLate) {
  AccessController Open(ConfigurationDelay, std::nullopt);
  Open.setCustomers({customer("acme", {"key-a"})});
  EXPECT_EQ(Open.decide({"Bearer key-a"}, Start_).Verdict_,
            AccessVerdict::Granted);
}

// Guards against keys that outlive the configuration that held them.
TEST_F(AccessControllerTest, DropsAllKeysOfAConfigurationWithoutCustomers) {
  Access_.setCustomers({});
  EXPECT_EQ(decide({"Bearer key-a"}).Verdict_, AccessVerdict::Unauthorized);
}

TEST_F(AccessControllerTest, MovesAKeyToAnotherCustomer) {
  Access_.setCustomers(
      {customer("acme", {"key-b"}), customer("birch", {"key-c", "key-a"})});
  EXPECT_EQ(decide({"Bearer key-a"}).Customer_, "birch");
}

TEST_F(AccessControllerTest, ReportsKeysOfTwoCustomers) {
  auto Problems = Access_.setCustomers(
      {customer("acme", {"key-a", "key-a"}), customer("birch", {"key-a"})});
  ASSERT_EQ(Problems.size(), 1U);
  EXPECT_EQ(Problems.front().find("key-a"), std::string::npos);
  EXPECT_EQ(decide({"Bearer key-a"}).Customer_, "acme");
}

} // namespace
} // namespace dragonflylock
