#include "platformservices/internal/embeddedplatform.h"
#include "platformservices/platformcodec.h"
#include "platformservices/platformerrors.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

RowWrite insert(const std::string &Key) {
  return {{"t", Key}, RowCondition::absent(), "v"};
}

TEST(EmbeddedPlatform, WritesAllRowsOrNone) {
  EmbeddedPlatform Platform;
  ASSERT_TRUE(Platform.transact({insert("a")}));
  auto Second = Platform.transact({insert("b"), insert("a")});
  ASSERT_FALSE(Second);
  EXPECT_EQ(Second.error().kind(), PlatformErrc::ConditionFailed);
  EXPECT_FALSE(Platform.read({"t", "b"}).value());
}

TEST(EmbeddedPlatform, ReinsertedRowGetsNewVersion) {
  EmbeddedPlatform Platform;
  RowVersion First = Platform.transact({insert("a")}).value()[0];
  Platform.transact({{{"t", "a"}, RowCondition::at(First), std::nullopt}});
  RowVersion Second = Platform.transact({insert("a")}).value()[0];
  EXPECT_GT(Second, First);
  EXPECT_FALSE(Platform.transact({{{"t", "a"}, RowCondition::at(First), "x"}}));
}

TEST(EmbeddedPlatform, ReturnsOnlyChangesSinceRevision) {
  EmbeddedPlatform Platform;
  Platform.transact({insert("a"), insert("b")});
  auto Snapshot = Platform.readChanges("t", 0).value();
  EXPECT_TRUE(Snapshot.IsSnapshot_);
  EXPECT_EQ(Snapshot.Rows_.size(), 2U);
  Platform.transact({{{"t", "a"}, RowCondition::any(), std::nullopt}});
  Platform.transact({{{"t", "b"}, RowCondition::any(), "w"}});
  auto Changes = Platform.readChanges("t", Snapshot.Revision_).value();
  EXPECT_EQ(Changes.Deleted_, std::vector<std::string>{"a"});
  ASSERT_EQ(Changes.Rows_.size(), 1U);
  EXPECT_EQ(Changes.Rows_[0].Value_, "w");
  EXPECT_TRUE(Platform.readChanges("t", 1000).value().IsSnapshot_);
}

TEST(PlatformCodec, RoundTripsMessages) {
  std::vector<RowWrite> Writes{insert("a"),
                               {{"t", "b"}, RowCondition::at(7), std::nullopt},
                               {{"t", "c"}, RowCondition::any(), "\"quoted\""}};
  auto Read =
      platformcodec::decodeWrites(platformcodec::encodeWrites(Writes)).value();
  ASSERT_EQ(Read.size(), 3U);
  EXPECT_EQ(Read[0].Condition_.Kind_, RowCondition::Kind::Absent);
  EXPECT_EQ(Read[1].Condition_.Version_, 7U);
  EXPECT_FALSE(Read[1].Value_);
  EXPECT_EQ(*Read[2].Value_, "\"quoted\"");
  ListedInstance Instance{"w1", {"10.0.0.1", 80},       "a",
                          "r",  InstanceState::Leaving, 4};
  EXPECT_EQ(
      platformcodec::decodeInstance(platformcodec::encodeInstance(Instance))
          .value(),
      Instance);
}

TEST(PlatformCodec, RejectsMalformedText) {
  for (const char *Text : {"", "{}", "[{}]", "[1]", "null", "\"x\""}) {
    auto Read = platformcodec::decodeWrites(Text);
    if (!Read)
      EXPECT_EQ(Read.error().kind(), PlatformErrc::BadAnswer);
    EXPECT_FALSE(platformcodec::decodeChanges(Text)) << Text;
  }
}

} // namespace
} // namespace dragonflylock
