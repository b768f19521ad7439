#include "fleet/retentionsweeper.h"
#include "global/tests/mocks/manualclock.h"
#include "platformservices/internal/embeddedplatform.h"
#include "platformservices/tests/mocks/faultinjectingtable.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::hours;

constexpr const char *Name = "claims";

std::optional<std::int64_t> lastUsedMs(const TableRow &Row) {
  if (Row.Value_ == "open")
    return std::nullopt;
  return std::stoll(Row.Value_);
}

class RetentionSweeperTest : public ::testing::Test {
protected:
  void insert(const std::string &Key, const std::string &Value) {
    Platform_.transact({{{Name, Key}, RowCondition::any(), Value}});
  }
  std::string nowMs() {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                              Clock_.wallNow().time_since_epoch())
                              .count());
  }
  std::size_t rows() {
    return Platform_.readChanges(Name, 0).value().Rows_.size();
  }

  EmbeddedPlatform Platform_;
  FaultInjectingTable Table_{Platform_};
  ManualClock Clock_;
  RetentionSweeper Sweeper_{Table_, Clock_, Name, lastUsedMs};
};

TEST_F(RetentionSweeperTest, RemovesOldRowsAndKeepsTheOthers) {
  constexpr int Old = 150;
  for (int Number = 0; Number < Old; ++Number)
    insert("old" + std::to_string(Number), nowMs());
  insert("open", "open");
  Clock_.advance(hours(25));
  for (int Number = 0; Number < 10; ++Number)
    insert("new" + std::to_string(Number), nowMs());
  std::size_t Removed = 0;
  while (auto Batch = Sweeper_.sweepOnce(hours(24))) {
    Removed += Batch.value();
    if (Batch.value() == 0)
      break;
  }
  EXPECT_EQ(Removed, 150U);
  EXPECT_EQ(rows(), 11U);
}

TEST_F(RetentionSweeperTest, KeepsRowsThatWereWrittenMeanwhile) {
  insert("a", nowMs());
  Clock_.advance(hours(25));
  Table_.runBeforeNextTransaction([&] { insert("a", nowMs()); });
  EXPECT_FALSE(Sweeper_.sweepOnce(hours(24)));
  EXPECT_EQ(rows(), 1U);
}

TEST_F(RetentionSweeperTest, RetriesAfterTheTableWasUnavailable) {
  insert("a", nowMs());
  Clock_.advance(hours(25));
  Table_.injectFault(FaultInjectingTable::Fault::Unavailable, 0, 1);
  EXPECT_FALSE(Sweeper_.sweepOnce(hours(24)));
  EXPECT_EQ(Sweeper_.sweepOnce(hours(24)).value(), 1U);
}

} // namespace
} // namespace dragonflylock
