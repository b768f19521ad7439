#include "forward/internal/curlendpointclient.h"
#include "forward/iofferlistener.h"
#include "forward/tests/mocks/rawendpoint.h"
#include "global/internal/systemclock.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <vector>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds Longest{5'000};
constexpr const char *WholeAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

class Collector : public IOfferListener {
public:
  void onOfferEnded(EndedOffer Ended) override {
    std::lock_guard Lock(Mutex_);
    Ended_.push_back(std::move(Ended));
    Changed_.notify_one();
  }
  EndedOffer next() {
    std::unique_lock Lock(Mutex_);
    Changed_.wait_for(Lock, 2 * Longest, [&] { return Ended_.size() > Seen_; });
    return Ended_.at(Seen_++);
  }

private:
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::vector<EndedOffer> Ended_;
  std::size_t Seen_ = 0;
};

class CurlEndpointClientTest : public ::testing::Test {
protected:
  CurlEndpointClientTest() : Client_(Clock_, Collector_, 16) {
    Client_.start();
  }

  EndedOffer send(const SocketAddress &Address, const std::string &Method,
                  milliseconds Limit = Longest) {
    Offer Wanted;
    Wanted.Action_.Id_ = ++Id_;
    Wanted.Action_.Attempt_ = 1;
    Wanted.Action_.Address_ = Address;
    Wanted.Action_.Deadline_ = Clock_.now() + Limit;
    Wanted.Action_.IsIdempotent_ = Method == "GET";
    Wanted.Action_.MaxAnswer_ = 100;
    Wanted.Request_ =
        std::make_shared<const HttpRequest>(HttpRequest{Method, "/", {}, ""});
    EXPECT_TRUE(Client_.offer(std::move(Wanted)));
    return Collector_.next();
  }

  SystemClock Clock_;
  Collector Collector_;
  CurlEndpointClient Client_;
  RequestId Id_ = 0;
};

TEST_F(CurlEndpointClientTest, SendsAPostOnceThoughTheConnectionIsClosed) {
  // The first request is answered and its connection kept; the second is
  // read and its connection closed. libcurl would send it again on a reused
  // connection.
  RawEndpoint Endpoint({RawEndpoint::answer(WholeAnswer), RawEndpoint::close(),
                        RawEndpoint::answer(WholeAnswer)});
  EXPECT_EQ(send(Endpoint.address(), "POST").End_.Fault_, AnswerFault::None);
  EndedOffer Second = send(Endpoint.address(), "POST");
  EXPECT_EQ(Second.End_.Fault_, AnswerFault::Lost);
  EXPECT_TRUE(Second.End_.MayHaveBeenSent_);
  EXPECT_EQ(Endpoint.requestsRead(), 2U);
}

TEST_F(CurlEndpointClientTest, ReusesConnectionsOfIdempotentRequests) {
  RawEndpoint Endpoint(
      {RawEndpoint::answer(WholeAnswer), RawEndpoint::answer(WholeAnswer)});
  send(Endpoint.address(), "GET");
  send(Endpoint.address(), "GET");
  EXPECT_EQ(Endpoint.connections(), 1U);
}

TEST_F(CurlEndpointClientTest, KnowsThatNothingWasOffered) {
  EndedOffer Ended = send({"127.0.0.1", 1}, "POST");
  EXPECT_FALSE(Ended.End_.MayHaveBeenSent_);
}

TEST_F(CurlEndpointClientTest, SendsNothingAfterTheDeadline) {
  RawEndpoint Endpoint({RawEndpoint::answer(WholeAnswer)});
  EndedOffer Ended = send(Endpoint.address(), "POST", milliseconds(-1));
  EXPECT_FALSE(Ended.End_.MayHaveBeenSent_);
  EXPECT_EQ(Endpoint.requestsRead(), 0U);
}

struct Case {
  const char *Answer_;
  AnswerFault Fault_;
};

TEST_F(CurlEndpointClientTest, JudgesWhetherAnAnswerIsWhole) {
  const std::vector<Case> Cases{
      {WholeAnswer, AnswerFault::None},
      {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
       AnswerFault::Truncated},
      {"HTTP/1.1 200 OK\r\n\r\nok", AnswerFault::Unframed},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       "2\r\nok\r\n0\r\n\r\n",
       AnswerFault::None},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
       AnswerFault::Truncated},
      {"HTTP/1.1 200 OK\r\nContent-Len", AnswerFault::Lost},
      {"HTTP/1.1 204 No Content\r\n\r\n", AnswerFault::None},
  };
  for (const Case &Each : Cases) {
    RawEndpoint Endpoint({RawEndpoint::answerAndClose(Each.Answer_)});
    EndedOffer Ended = send(Endpoint.address(), "POST");
    EXPECT_EQ(Ended.End_.Fault_, Each.Fault_) << Each.Answer_;
    EXPECT_TRUE(Ended.End_.MayHaveBeenSent_);
  }
}

TEST_F(CurlEndpointClientTest, RefusesAnAnswerOverTheLimit) {
  std::string Long =
      "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + std::string(101, 'x');
  RawEndpoint Endpoint({RawEndpoint::answerAndClose(Long)});
  EXPECT_EQ(send(Endpoint.address(), "GET").End_.Fault_, AnswerFault::TooLarge);
}

TEST_F(CurlEndpointClientTest, DropsAnAnswerAfterTheDeadline) {
  RawEndpoint Endpoint(
      {RawEndpoint::silence(), RawEndpoint::answer(WholeAnswer)});
  EndedOffer Late = send(Endpoint.address(), "GET", milliseconds(100));
  EXPECT_EQ(Late.End_.Fault_, AnswerFault::Timeout);
  EndedOffer Next = send(Endpoint.address(), "GET");
  EXPECT_EQ(Next.Answer_.Body_, "ok");
  EXPECT_EQ(Endpoint.connections(), 2U);
}

TEST_F(CurlEndpointClientTest, DoesNotMixAnswersOfAReusedConnection) {
  // Bytes beyond the stated length must not become the next answer.
  std::string Excess = std::string(WholeAnswer) +
                       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
  RawEndpoint Endpoint(
      {RawEndpoint::answer(Excess), RawEndpoint::answer(WholeAnswer)});
  EXPECT_EQ(send(Endpoint.address(), "GET").Answer_.Body_, "ok");
  EndedOffer Second = send(Endpoint.address(), "GET");
  EXPECT_NE(Second.Answer_.Body_, "wrong");
}

} // namespace
} // namespace dragonflylock
