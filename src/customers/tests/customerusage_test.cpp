#include "customers/customerusage.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

// A job that is counted twice would keep its customer below its limit.
TEST(CustomerUsageTest, ReplacesWhatAJobRuns) {
  CustomerUsage Usage;
  Usage.add("j1", "acme", {1000, 64, 0});
  Usage.add("j1", "acme", {1000, 64, 0});
  Usage.set("j1", "acme", {2000, 128, 0});
  Usage.set("j2", "acme", {500, 32, 1});
  EXPECT_EQ(Usage.of("acme"), (Resources{2500, 160, 1}));
  Usage.set("j1", "acme", {1000, 64, 0});
  EXPECT_EQ(Usage.of("acme"), (Resources{1500, 96, 1}));
}

TEST(CustomerUsageTest, ForgetsEndedJobsAndIdleCustomers) {
  CustomerUsage Usage;
  Usage.set("j1", "acme", {2000, 128, 0});
  Usage.set("j2", "birch", {500, 32, 0});
  Usage.set("j1", "acme", {});
  Usage.remove("j2");
  Usage.remove("j3");
  EXPECT_TRUE(Usage.all().empty());
  EXPECT_EQ(Usage.of("acme"), Resources());
}

} // namespace
} // namespace dragonflylock
