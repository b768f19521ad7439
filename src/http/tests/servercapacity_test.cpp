#include "http/servercapacity.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

constexpr std::size_t Megabyte = 1U << 20U;

// Guards against a share of memory that the smallest machine does not have, or
// that leaves no room for the target of 64 MB on the largest.
TEST(ServerCapacityTest, RequestsGetABoundedShareOfTheMemory) {
  EXPECT_EQ(ServerCapacity::ofCallers(160, 0).RequestBytes_, 16 * Megabyte);
  EXPECT_EQ(ServerCapacity::ofCallers(1, 0).RequestBytes_, 8 * Megabyte);
  for (std::uint64_t Memory : {0ULL, 512ULL, ~0ULL})
    EXPECT_EQ(ServerCapacity::ofCallers(Memory, 0).RequestBytes_,
              28 * Megabyte);
}

// Guards against callers who take the descriptors of the store, of workers and
// of peers.
TEST(ServerCapacityTest, CallersGetLessThanHalfOfTheDescriptors) {
  EXPECT_EQ(ServerCapacity::ofCallers(0, 512).Connections_, 156U);
  EXPECT_EQ(ServerCapacity::ofCallers(0, 40).Connections_, 16U);
  EXPECT_LT(ServerCapacity::ofCallers(0, 0).Connections_, 2048U);
}

} // namespace
} // namespace dragonflylock
