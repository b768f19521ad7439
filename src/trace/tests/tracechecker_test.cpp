#include "trace/tracechecker.h"
#include "trace/tracecodec.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

/// Builds a trace whose events are a millisecond apart.
class TraceBuilder {
public:
  TraceEvent &add(TraceKind Kind, const std::string &Request = "") {
    TraceEvent Event;
    Event.Kind_ = Kind;
    Event.Request_ = Request;
    Event.Process_ = "e1";
    Event.Instance_ = "w1";
    Event.Pool_ = "rota";
    NextUs_ += 1000;
    Event.AtUs_ = NextUs_;
    Events_.push_back(Event);
    return Events_.back();
  }
  void wait(milliseconds Pause) { NextUs_ += Pause.count() * 1000; }

  /// Adds a request that is received, offered, run and answered.
  void served(const std::string &Request, const std::string &Key = "") {
    add(TraceKind::Received, Request).Key_ = Key;
    add(TraceKind::Offered, Request).Key_ = Key;
    add(TraceKind::Ran, Request);
    TraceEvent &Answer = add(TraceKind::Answered, Request);
    Answer.Key_ = Key;
    Answer.Result_ = "answered";
    Answer.Digest_ = "d1";
  }
  TraceEvent &row(const std::string &Instance, std::uint64_t Epoch,
                  const std::string &Pool, const std::string &Phase) {
    TraceEvent &Event = add(TraceKind::InstanceRow);
    Event.Instance_ = Instance;
    Event.Number_ = Epoch;
    Event.Pool_ = Pool;
    Event.Phase_ = Phase;
    return Event;
  }

  /// \returns the name of the promise that the trace breaks, or "none".
  std::string verdict() const {
    TraceChecker Checker(milliseconds(3'000));
    auto Violation = Checker.check(Events_);
    return Violation ? Violation->Promise_ : "none";
  }

private:
  std::vector<TraceEvent> Events_;
  std::int64_t NextUs_ = 1'000'000;
};

TEST(TraceChecker, AcceptsAWholeTrace) {
  TraceBuilder Trace;
  Trace.row("w1", 1, "rota", "serving");
  Trace.row("w2", 1, "rota", "serving");
  Trace.served("r1", "k1");
  TraceEvent &Repeat = Trace.add(TraceKind::Received, "r2");
  Repeat.Key_ = "k1";
  TraceEvent &Replay = Trace.add(TraceKind::Answered, "r2");
  Replay.Key_ = "k1";
  Replay.Result_ = "replayed";
  Replay.Digest_ = "d1";
  Trace.row("w2", 2, "rota", "out").Required_ = 1;
  EXPECT_EQ(Trace.verdict(), "none");
}

TEST(TraceChecker, RefusesARequestThatRanTwice) {
  TraceBuilder Trace;
  Trace.served("r1");
  Trace.add(TraceKind::Ran, "r1");
  EXPECT_EQ(Trace.verdict(), "at-most-once");
}

TEST(TraceChecker, RefusesAKeyThatRanTwice) {
  TraceBuilder Trace;
  Trace.served("r1", "k1");
  Trace.served("r2", "k1");
  EXPECT_EQ(Trace.verdict(), "at-most-once");
}

TEST(TraceChecker, AcceptsAnIdempotentRequestThatRanTwice) {
  TraceBuilder Trace;
  Trace.add(TraceKind::Received, "r1");
  Trace.add(TraceKind::Offered, "r1").IsIdempotent_ = true;
  Trace.add(TraceKind::Ran, "r1");
  Trace.add(TraceKind::Ran, "r1");
  EXPECT_EQ(Trace.verdict(), "none");
}

TEST(TraceChecker, RefusesAFalseNotRunBeforeAndAfter) {
  for (bool RanFirst : {true, false}) {
    TraceBuilder Trace;
    Trace.add(TraceKind::Received, "r1");
    if (RanFirst)
      Trace.add(TraceKind::Ran, "r1");
    Trace.add(TraceKind::Answered, "r1").Outcome_ = "not-run";
    if (!RanFirst)
      Trace.add(TraceKind::Ran, "r1");
    EXPECT_EQ(Trace.verdict(), "not-run-is-true");
  }
}

TEST(TraceChecker, RefusesAnAnswerOfAnotherInstance) {
  TraceBuilder Trace;
  Trace.add(TraceKind::Received, "r1");
  Trace.add(TraceKind::Ran, "r1").Instance_ = "w2";
  Trace.add(TraceKind::Answered, "r1").Result_ = "answered";
  EXPECT_EQ(Trace.verdict(), "own-answer");
}

TEST(TraceChecker, DecidesWhatItCanWithoutRecordsOfInstances) {
  TraceBuilder Trace;
  Trace.add(TraceKind::Received, "r1");
  Trace.add(TraceKind::Offered, "r1");
  Trace.add(TraceKind::Answered, "r1").Result_ = "answered";
  EXPECT_EQ(Trace.verdict(), "none");
  Trace.add(TraceKind::Answered, "r1").Result_ = "answered";
  EXPECT_EQ(Trace.verdict(), "own-answer");
}

TEST(TraceChecker, RefusesTwoAnswersAndARepeatThatDiffers) {
  TraceBuilder Twice;
  Twice.served("r1");
  Twice.add(TraceKind::Answered, "r1").Result_ = "answered";
  EXPECT_EQ(Twice.verdict(), "own-answer");
  TraceBuilder Differs;
  Differs.served("r1", "k1");
  Differs.add(TraceKind::Received, "r2");
  TraceEvent &Replay = Differs.add(TraceKind::Answered, "r2");
  Replay.Key_ = "k1";
  Replay.Result_ = "replayed";
  Replay.Digest_ = "d2";
  EXPECT_EQ(Differs.verdict(), "own-answer");
}

TEST(TraceChecker, RefusesAConfigurationThatReverts) {
  TraceBuilder Trace;
  Trace.add(TraceKind::ConfigurationApplied).Number_ = 2;
  Trace.add(TraceKind::ConfigurationApplied).Number_ = 1;
  EXPECT_EQ(Trace.verdict(), "configuration-never-reverts");
}

TEST(TraceChecker, RefusesARestartWithAnOlderVersion) {
  for (std::uint64_t Version : {1U, 2U}) {
    TraceBuilder Trace;
    Trace.add(TraceKind::ConfigurationApplied).Number_ = 2;
    TraceEvent &Restarted = Trace.add(TraceKind::ConfigurationApplied);
    Restarted.Number_ = Version;
    Restarted.Boot_ = "second";
    EXPECT_EQ(Trace.verdict(),
              Version == 1 ? "configuration-never-reverts" : "none");
  }
}

TEST(TraceChecker, RefusesAVersionAcceptedTwice) {
  TraceBuilder Trace;
  Trace.add(TraceKind::ConfigurationAccepted).Number_ = 2;
  Trace.add(TraceKind::ConfigurationAccepted).Number_ = 2;
  EXPECT_EQ(Trace.verdict(), "configuration-never-reverts");
}

TEST(TraceChecker, RefusesAnOfferToALeavingInstance) {
  TraceBuilder Trace;
  Trace.add(TraceKind::InstanceLeaving).Number_ = 1;
  Trace.wait(milliseconds(2'000));
  Trace.add(TraceKind::Offered, "r1");
  EXPECT_EQ(Trace.verdict(), "none");
  Trace.wait(milliseconds(2'000));
  Trace.add(TraceKind::Offered, "r2");
  EXPECT_EQ(Trace.verdict(), "leaving-receives-nothing");
}

TEST(TraceChecker, AcceptsAnOfferAfterTheInstanceCameBack) {
  TraceBuilder Trace;
  Trace.add(TraceKind::InstanceLeaving).Number_ = 1;
  Trace.wait(milliseconds(9'000));
  Trace.add(TraceKind::InstanceLive).Number_ = 2;
  Trace.add(TraceKind::Offered, "r1");
  EXPECT_EQ(Trace.verdict(), "none");
}

TEST(TraceChecker, RefusesAnInstanceOfTwoPools) {
  TraceBuilder Trace;
  Trace.row("w1", 1, "rota", "serving");
  Trace.row("w1", 2, "mending", "serving");
  Trace.add(TraceKind::Offered, "r1").Pool_ = "rota";
  EXPECT_EQ(Trace.verdict(), "one-pool");
}

// Guards against a verdict on a process whose reader sees a row before its
// writer has the response and records the write.
TEST(TraceChecker, AcceptsARowThatIsSeenBeforeItsWriteIsRecorded) {
  TraceBuilder Trace;
  Trace.row("w1", 1, "rota", "serving");
  Trace.row("w1", 2, "rota", "leaving").Kind_ = TraceKind::InstanceSeen;
  Trace.row("w1", 2, "rota", "leaving");
  EXPECT_EQ(Trace.verdict(), "none");
}

TEST(TraceChecker, RefusesAnEpochThatIsWrittenTwice) {
  TraceBuilder Trace;
  Trace.row("w1", 2, "rota", "leaving").Kind_ = TraceKind::InstanceSeen;
  Trace.row("w1", 2, "rota", "leaving");
  Trace.row("w1", 2, "rota", "leaving");
  EXPECT_EQ(Trace.verdict(), "one-pool");
}

TEST(TraceChecker, RefusesAnEpochThatIsSeenWithAnotherPhase) {
  TraceBuilder Trace;
  Trace.row("w1", 2, "rota", "serving").Kind_ = TraceKind::InstanceSeen;
  Trace.row("w1", 2, "rota", "leaving");
  EXPECT_EQ(Trace.verdict(), "one-pool");
}

TEST(TraceChecker, RefusesABrokenAvailability) {
  TraceBuilder Trace;
  Trace.row("w1", 1, "rota", "serving");
  Trace.row("w2", 1, "rota", "serving");
  Trace.row("w2", 2, "rota", "out").Required_ = 2;
  EXPECT_EQ(Trace.verdict(), "availability");
}

TEST(TraceCodec, KeepsEventsWholeAndRefusesOtherLines) {
  TraceEvent Event;
  Event.Kind_ = TraceKind::InstanceLive;
  Event.AtUs_ = 17;
  Event.Request_ = "r\n1";
  Event.Number_ = 3;
  auto Read = tracecodec::decode(tracecodec::encode(Event));
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read.value().Kind_, TraceKind::InstanceLive);
  EXPECT_EQ(Read.value().Request_, "r\n1");
  EXPECT_EQ(Read.value().Number_, 3U);
  for (const char *Line : {"", "{}", "[]", "{\"kind\":\"nonsense\"}"})
    EXPECT_FALSE(tracecodec::decode(Line)) << Line;
}

} // namespace
} // namespace dragonflylock
