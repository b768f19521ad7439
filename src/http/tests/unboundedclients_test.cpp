#include "global/ilogger.h"
#include "global/logevent.h"
#include "global/requestlimits.h"
#include "http/httptypes.h"
#include "http/ihttphandler.h"
#include "http/ihttpresponder.h"
#include "http/internal/restinioserver.h"

#include <gtest/gtest.h>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <atomic>
#include <deque>
#include <mutex>
#include <thread>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t HeadLimit = 1000;
constexpr std::size_t BodyLimit = 100'000;
/// More than the kernel buffers for a connection.
constexpr std::size_t LongAnswer = 20'000'000;

/// Answers with the size of the body; requests to /held wait for release().
class SizeHandler : public IHttpHandler {
public:
  void handle(HttpRequest Request,
              std::shared_ptr<IHttpResponder> Responder) override {
    ++Handled_;
    if (Request.path() == "/held") {
      const std::lock_guard Lock(Mutex_);
      Held_.push_back(std::move(Responder));
      return;
    }
    if (Request.path() == "/long") {
      Responder->answer({200, {}, std::string(LongAnswer, 'x') + "end"});
      return;
    }
    Responder->answer({200, {}, std::to_string(Request.Body_.size())});
  }
  void release() {
    const std::lock_guard Lock(Mutex_);
    for (const auto &Each : Held_)
      Each->answer({200, {}, "released"});
    Held_.clear();
  }
  std::atomic<int> Handled_ = 0;

private:
  std::mutex Mutex_;
  std::vector<std::shared_ptr<IHttpResponder>> Held_;
};

class LineLogger : public ILogger {
public:
  void write(LogLevel, const LogEvent &Event) override {
    const std::lock_guard Lock(Mutex_);
    Lines_.push_back(Event.line());
  }
  std::vector<std::string> lines() {
    const std::lock_guard Lock(Mutex_);
    return Lines_;
  }

private:
  std::mutex Mutex_;
  std::vector<std::string> Lines_;
};

/// A caller's connection that sends any bytes.
class Caller {
public:
  explicit Caller(std::uint16_t Port) : Socket_(Context_) {
    Socket_.connect({asio::ip::make_address("127.0.0.1"), Port});
  }
  /// Sends as much as the server takes.
  void send(const std::string &Bytes) {
    asio::error_code Ignored;
    asio::write(Socket_, asio::buffer(Bytes), Ignored);
  }
  /// \returns all that the server sends before it closes the connection.
  std::string readToEnd() {
    std::string Received;
    asio::error_code Ignored;
    asio::read(Socket_, asio::dynamic_buffer(Received), Ignored);
    return Received;
  }
  /// \returns the first line of what the server sends.
  std::string readLine() {
    std::string Received;
    asio::error_code Failure;
    char Each = 0;
    while (!Failure && Each != '\n' &&
           asio::read(Socket_, asio::buffer(&Each, 1), Failure) == 1)
      Received += Each;
    return Received.substr(0, Received.find('\r'));
  }

private:
  asio::io_context Context_;
  asio::ip::tcp::socket Socket_;
};

std::string repeated(const std::string &Text, std::size_t Count) {
  std::string Result;
  for (std::size_t Each = 0; Each < Count; ++Each)
    Result += Text;
  return Result;
}

const std::string ChunkedHead = "POST / HTTP/1.1\r\nConnection: close\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";

class UnboundedClientsTest : public testing::Test {
protected:
  explicit UnboundedClientsTest(std::size_t RequestBytes = 30 * BodyLimit)
      : Server_({"127.0.0.1", 0}, Handler_, BodyLimit, {RequestBytes, 8},
                &Logger_) {
    RequestLimits Limits;
    Limits.MaxHeadBytes_ = HeadLimit;
    Limits.MaxBodyBytes_ = BodyLimit;
    Server_.setLimits(Limits);
    EXPECT_TRUE(Server_.start());
  }
  Caller connect() { return Caller(Server_.port()); }
  /// \returns whether the condition holds within a generous time.
  template <typename Condition> static bool eventually(Condition Holds) {
    for (int Tries = 0; Tries < 1000 && !Holds(); ++Tries)
      std::this_thread::sleep_for(milliseconds(10));
    return Holds();
  }

  SizeHandler Handler_;
  LineLogger Logger_;
  RestinioServer Server_;
};

// Guards against a valid request that meets a limit in calm.
TEST_F(UnboundedClientsTest, ABodyOfExactlyTheLimitIsServedInAnyChunks) {
  for (std::size_t Size : {1U, 7U, 1000U, 100'000U}) {
    std::string Chunk(Size, 'x');
    char Length[17] = {};
    std::snprintf(Length, sizeof(Length), "%zx\r\n", Size);
    std::string Body = repeated(Length + Chunk + "\r\n", BodyLimit / Size);
    if (std::size_t Rest = BodyLimit % Size; Rest > 0) {
      std::snprintf(Length, sizeof(Length), "%zx\r\n", Rest);
      Body += Length + std::string(Rest, 'x') + "\r\n";
    }
    Caller Each = connect();
    Each.send(ChunkedHead + Body + "0\r\n\r\n");
    EXPECT_TRUE(Each.readToEnd().ends_with("100000")) << Size;
  }
}

// Guards against a refusal that the caller cannot read because its connection
// is reset while it still sends.
TEST_F(UnboundedClientsTest, ALargeBodyIsAnsweredAndNotHandled) {
  Caller Announced = connect();
  Announced.send("POST / HTTP/1.1\r\nContent-Length: 5000000\r\n\r\n" +
                 std::string(5'000'000, 'x'));
  EXPECT_EQ(Announced.readLine(), "HTTP/1.1 413 Content Too Large");
  Caller Chunked = connect();
  Chunked.send(ChunkedHead +
               repeated("2710\r\n" + std::string(10'000, 'x') + "\r\n", 500));
  EXPECT_EQ(Chunked.readLine(), "HTTP/1.1 413 Content Too Large");
  EXPECT_EQ(Handler_.Handled_, 0);
}

// Guards against heads and empty lines that are read on without an end.
TEST_F(UnboundedClientsTest, ALargeHeadIsAnsweredAndNotHandled) {
  for (const std::string &Head :
       {"GET / HTTP/1.1\r\n" + repeated("a:b\r\n", 5000),
        "GET /" + std::string(20'000, 'x'), repeated("\r\n", 20'000)}) {
    Caller Each = connect();
    Each.send(Head);
    EXPECT_EQ(Each.readLine(), "HTTP/1.1 431 Request Header Fields Too Large");
  }
  EXPECT_EQ(Handler_.Handled_, 0);
}

// Guards against an excess that costs the request before it its answer.
TEST_F(UnboundedClientsTest, ARequestBeforeALargeOneIsAnswered) {
  Caller Each = connect();
  Each.send("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
            "POST / HTTP/1.1\r\nContent-Length: 5000000\r\n\r\n");
  EXPECT_EQ(Each.readLine(), "HTTP/1.1 200 OK");
  Each.readToEnd();
  EXPECT_EQ(Handler_.Handled_, 1);
}

// Guards against an answer that is cut, and a connection that is closed twice,
// where a request over the limit arrives while the answer before it is written.
TEST_F(UnboundedClientsTest, AnExcessDuringALongAnswerDoesNotCutIt) {
  for (int Round = 0; Round < 3; ++Round) {
    Caller Each = connect();
    Each.send("GET /long HTTP/1.1\r\n\r\n");
    Each.send("POST / HTTP/1.1\r\nContent-Length: 5000000\r\n\r\n");
    EXPECT_TRUE(Each.readToEnd().ends_with("end")) << Round;
  }
  EXPECT_TRUE(eventually([this] { return Server_.openConnections() == 0; }));
  EXPECT_EQ(Handler_.Handled_, 3);
}

// Guards against limits that are in force for later connections only.
TEST_F(UnboundedClientsTest, ChangedLimitsApplyToOpenConnections) {
  Caller Each = connect();
  Each.send("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
  EXPECT_EQ(Each.readLine(), "HTTP/1.1 200 OK");
  RequestLimits Lower;
  Lower.MaxBodyBytes_ = 2;
  Server_.setLimits(Lower);
  Each.send("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
  EXPECT_NE(Each.readToEnd().find("413 Content Too Large"), std::string::npos);
  EXPECT_EQ(Handler_.Handled_, 1);
}

// Guards against callers who keep connections with a part of a request.
TEST_F(UnboundedClientsTest, SlowHeadsAndIdleConnectionsAreClosed) {
  RequestLimits Short;
  Short.HeadTimeout_ = milliseconds(100);
  Short.IdleTimeout_ = milliseconds(300);
  Server_.setLimits(Short);
  Caller Head = connect();
  Head.send("GET / HT");
  Caller Body = connect();
  Body.send("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\na");
  Caller Idle = connect();
  Caller Held = connect();
  Held.send("GET /held HTTP/1.1\r\n\r\n");
  EXPECT_EQ(Head.readToEnd(), "");
  EXPECT_EQ(Body.readToEnd(), "");
  EXPECT_EQ(Idle.readToEnd(), "");
  // The request that the handler has is answered though its time is up.
  Handler_.release();
  EXPECT_EQ(Held.readLine(), "HTTP/1.1 200 OK");
}

// Guards against connections that take the descriptors of others, and against
// closing one whose request was passed on.
TEST_F(UnboundedClientsTest, ANewConnectionReplacesTheLongestIdleOne) {
  Caller Held = connect();
  Held.send("GET /held HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(eventually([this] { return Handler_.Handled_ == 1; }));
  std::deque<Caller> Idle;
  for (int Each = 0; Each < 20; ++Each)
    Idle.emplace_back(Server_.port());
  Caller Last = connect();
  Last.send("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
  EXPECT_EQ(Last.readLine(), "HTTP/1.1 200 OK");
  EXPECT_EQ(Idle.front().readToEnd(), "");
  EXPECT_TRUE(eventually([this] { return Server_.openConnections() <= 8; }));
  Handler_.release();
  EXPECT_EQ(Held.readLine(), "HTTP/1.1 200 OK");
  EXPECT_TRUE(eventually([this] { return !Logger_.lines().empty(); }));
  EXPECT_NE(Logger_.lines().front().find("connections.shed"),
            std::string::npos);
  EXPECT_NE(Logger_.lines().front().find("cause=connections"),
            std::string::npos);
}

class SmallBudgetTest : public UnboundedClientsTest {
protected:
  SmallBudgetTest() : UnboundedClientsTest(3 * BodyLimit) {}
};

// Guards against unfinished bodies that keep all memory from other callers,
// and against closing a connection whose request the handler has.
TEST_F(SmallBudgetTest, UnfinishedBodiesGiveWayToOthers) {
  Caller Held = connect();
  Held.send("GET /held HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(eventually([this] { return Handler_.Handled_ == 1; }));
  std::deque<Caller> Crowd;
  for (int Each = 0; Each < 6; ++Each) {
    Crowd.emplace_back(Server_.port());
    Crowd.back().send(ChunkedHead + "15f90\r\n" + std::string(90'000, 'x'));
  }
  EXPECT_TRUE(eventually([this] { return !Logger_.lines().empty(); }));
  EXPECT_NE(Logger_.lines().front().find("cause=memory"), std::string::npos);
  Caller Ordinary = connect();
  Ordinary.send("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
  EXPECT_EQ(Ordinary.readLine(), "HTTP/1.1 200 OK");
  Handler_.release();
  EXPECT_EQ(Held.readLine(), "HTTP/1.1 200 OK");
}

} // namespace
} // namespace dragonflylock
