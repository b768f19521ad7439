#include "global/globalerrors.h"
#include "global/socketaddress.h"
#include "global/units.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

TEST(Units, ReadsDurations) {
  EXPECT_EQ(parseDuration("250ms").value(), milliseconds(250));
  EXPECT_EQ(parseDuration("5s").value(), milliseconds(5'000));
  EXPECT_EQ(parseDuration("10min").value(), milliseconds(600'000));
  EXPECT_EQ(parseDuration("3h").value(), milliseconds(10'800'000));
}

TEST(Units, RefusesDurationsWithoutUnitOrNumber) {
  for (const char *Text :
       {"", "5", "s", "-5s", "5 s", "5sec", "1e3s", "99999999999s", "5.5s"}) {
    auto Parsed = parseDuration(Text);
    ASSERT_FALSE(Parsed) << Text;
    EXPECT_EQ(Parsed.error().kind(), UnitErrc::NotADuration);
    EXPECT_FALSE(Parsed.error().remedy().empty());
  }
}

TEST(Units, FormatsInTheLargestExactUnit) {
  EXPECT_EQ(formatDuration(milliseconds(250)), "250ms");
  EXPECT_EQ(formatDuration(milliseconds(5'000)), "5s");
  EXPECT_EQ(formatDuration(milliseconds(90'000)), "90s");
  EXPECT_EQ(formatDuration(milliseconds(7'200'000)), "2h");
  EXPECT_EQ(formatDuration(milliseconds(0)), "0ms");
}

TEST(Units, ReadsSizesAndPercentages) {
  EXPECT_EQ(parseSize("512B").value(), 512U);
  EXPECT_EQ(parseSize("16KiB").value(), 16U * 1024U);
  EXPECT_FALSE(parseSize("16KB"));
  EXPECT_DOUBLE_EQ(parsePercentage("20%").value(), 0.2);
  EXPECT_FALSE(parsePercentage("20"));
  EXPECT_FALSE(parsePercentage("101%"));
}

TEST(SocketAddress, ReadsIpNumberAndPort) {
  auto Parsed = SocketAddress::parse("10.0.0.7:8080");
  ASSERT_TRUE(Parsed);
  EXPECT_EQ(Parsed.value().text(), "10.0.0.7:8080");
  EXPECT_FALSE(Parsed.value().isLoopback());
  EXPECT_TRUE(SocketAddress::parse("127.0.0.9:1").value().isLoopback());
}

TEST(SocketAddress, RefusesNamesAndPortsOutOfRange) {
  for (const char *Text :
       {"", "host:80", "10.0.0.7", ":80", "10.0.0.7:65536", "10.0.0.7:x"})
    EXPECT_FALSE(SocketAddress::parse(Text)) << Text;
}

} // namespace
} // namespace dragonflylock
