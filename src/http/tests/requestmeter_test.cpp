#include "global/requestlimits.h"
#include "http/internal/requestmeter.h"

#include <gtest/gtest.h>

#include <string>

namespace dragonflylock {
namespace {

using Verdict = RequestMeter::Verdict;

constexpr const char *ChunkedHead =
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

class RequestMeterTest : public testing::Test {
protected:
  RequestMeterTest() {
    Limits_.MaxHeadBytes_ = 200;
    Limits_.MaxBodyBytes_ = 100;
  }
  Verdict read(const std::string &Text) {
    return Meter_.read(Text.data(), Text.size(), Limits_);
  }
  /// Reads \p Text in pieces of one byte.
  Verdict readBytewise(const std::string &Text) {
    for (char Each : Text)
      if (auto Excess = read(std::string(1, Each)); Excess != Verdict::Within)
        return Excess;
    return Verdict::Within;
  }

  RequestLimits Limits_;
  RequestMeter Meter_;
};

// Guards against a request of exactly the documented size that is refused.
TEST_F(RequestMeterTest, AcceptsABodyOfExactlyTheLimit) {
  const std::string Body(100, 'x');
  EXPECT_EQ(read("POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n" + Body),
            Verdict::Within);
  EXPECT_EQ(read(ChunkedHead + ("64\r\n" + Body) + "\r\n0\r\n\r\n"),
            Verdict::Within);
  EXPECT_EQ(Meter_.finishedRequests(), 2U);
  EXPECT_FALSE(Meter_.isInRequest());
}

// Guards against memory that is reserved before a body is seen to be too large.
TEST_F(RequestMeterTest, RefusesABodyByItsAnnouncedLength) {
  EXPECT_EQ(read("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n"),
            Verdict::BodyTooLarge);
  // The request must not seem to end with its head.
  EXPECT_EQ(Meter_.finishedRequests(), 0U);
}

// Guards against chunks that exceed the limit only together.
TEST_F(RequestMeterTest, RefusesChunksThatAreTooLargeTogether) {
  EXPECT_EQ(read(ChunkedHead + ("63\r\n" + std::string(99, 'x')) + "\r\n"),
            Verdict::Within);
  EXPECT_EQ(readBytewise("2\r\nx"), Verdict::BodyTooLarge);
}

// Guards against heads, empty lines and trailing fields without a limit.
TEST_F(RequestMeterTest, RefusesHeadsOverTheLimit) {
  std::string Lines;
  for (int Each = 0; Each < 50; ++Each)
    Lines += "a:b\r\n";
  EXPECT_EQ(read("GET / HTTP/1.1\r\n" + Lines), Verdict::HeadTooLarge);
  Meter_ = RequestMeter();
  EXPECT_EQ(readBytewise(std::string(202, '\n')), Verdict::HeadTooLarge);
  Meter_ = RequestMeter();
  EXPECT_EQ(read(ChunkedHead + ("0\r\n" + Lines)), Verdict::HeadTooLarge);
}

// Guards against one-byte chunks that count for one byte each.
TEST_F(RequestMeterTest, CountsTheRecordOfEachChunk) {
  Limits_.MaxBodyBytes_ = 10'000;
  read(ChunkedHead);
  const std::size_t Before = Meter_.heldBytes();
  for (int Each = 0; Each < 1000; ++Each)
    read("1\r\nx\r\n");
  EXPECT_GE(Meter_.heldBytes() - Before, 17'000U);
}

// Guards against limits that were lowered below what has been read.
TEST_F(RequestMeterTest, AppliesALoweredLimitToTheNextBytes) {
  EXPECT_EQ(read(ChunkedHead + ("32\r\n" + std::string(50, 'x')) + "\r\n"),
            Verdict::Within);
  Limits_.MaxBodyBytes_ = 10;
  EXPECT_EQ(read("1\r\n"), Verdict::BodyTooLarge);
}

} // namespace
} // namespace dragonflylock
