#include "admission/backlogpublication.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

PoolBacklog backlogOf(std::int64_t Work) {
  PoolBacklog Backlog;
  Backlog.Speed_ = 10;
  Backlog.Priorities_[0].OnTime_.add(milliseconds(0), Work);
  return Backlog;
}

constexpr TimePoint Start = TimePoint(std::chrono::hours(1));

// Guards against writes for pools in which every job starts at once.
TEST(BacklogPublicationTest, NothingIsDueWithoutABacklog) {
  BacklogPublication Publication;
  EXPECT_FALSE(BacklogPublication::isBacklog(backlogOf(900)));
  EXPECT_TRUE(BacklogPublication::isBacklog(backlogOf(1100)));
  EXPECT_FALSE(Publication.isDue(std::nullopt, Start + std::chrono::hours(9)));
}

// Guards against nodes that refuse after the backlog has gone, and against
// nodes that do not learn that it has begun.
TEST(BacklogPublicationTest, BeginAndEndAreDueAtOnce) {
  BacklogPublication Publication;
  EXPECT_TRUE(Publication.isDue(backlogOf(9000), Start));
  Publication.onWrite(backlogOf(9000), Start);
  EXPECT_TRUE(Publication.isDue(std::nullopt, Start));
  Publication.onWrite(std::nullopt, Start);
  EXPECT_FALSE(Publication.isDue(std::nullopt, Start));
}

// Guards against a write for every small change.
TEST(BacklogPublicationTest, OnlyLargeChangesAndOldReportsAreDue) {
  BacklogPublication Publication;
  Publication.onWrite(backlogOf(10000), Start);
  EXPECT_FALSE(Publication.isDue(backlogOf(10500), Start));
  EXPECT_TRUE(Publication.isDue(backlogOf(12000), Start));
  EXPECT_TRUE(Publication.isDue(backlogOf(8000), Start));
  EXPECT_TRUE(Publication.isDue(backlogOf(10000),
                                Start + BacklogPublication::MaxInterval));
}

} // namespace
} // namespace dragonflylock
