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

constexpr milliseconds DefaultTimeout{5'000};
constexpr const char *CompleteAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

class CompletionCollector : public IOfferListener {
public:
  void onOfferCompleted(CompletedOffer Completed) override {
    std::lock_guard Lock(Mutex_);
    Completed_.push_back(std::move(Completed));
    Changed_.notify_one();
  }
  CompletedOffer next() {
    std::unique_lock Lock(Mutex_);
    Changed_.wait_for(Lock, 2 * DefaultTimeout,
                      [&] { return Completed_.size() > Taken_; });
    return Completed_.at(Taken_++);
  }

private:
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::vector<CompletedOffer> Completed_;
  std::size_t Taken_ = 0;
};

class CurlEndpointClientTest : public ::testing::Test {
protected:
  CurlEndpointClientTest() : Client_(Clock_, CompletionCollector_, 16) {
    Client_.start();
  }

  CompletedOffer send(const SocketAddress &Address, const std::string &Method,
                      milliseconds TimeToDeadline = DefaultTimeout) {
    Offer NewOffer;
    NewOffer.Action_.Id_ = ++Id_;
    NewOffer.Action_.Attempt_ = 1;
    NewOffer.Action_.Address_ = Address;
    NewOffer.Action_.Deadline_ = Clock_.now() + TimeToDeadline;
    NewOffer.Action_.IsIdempotent_ = Method == "GET";
    NewOffer.Action_.MaxAnswer_ = 100;
    NewOffer.Request_ =
        std::make_shared<const HttpRequest>(HttpRequest{Method, "/", {}, ""});
    EXPECT_TRUE(Client_.offer(std::move(NewOffer)));
    return CompletionCollector_.next();
  }

  SystemClock Clock_;
  CompletionCollector CompletionCollector_;
  CurlEndpointClient Client_;
  RequestId Id_ = 0;
};

TEST_F(CurlEndpointClientTest, SendsAPostOnceWhenTheConnectionIsClosed) {
  // The endpoint answers the first request and keeps the connection open. It
  // reads the second request and closes the connection without a response.
  // On a reused connection, libcurl would send that request again.
  RawEndpoint Endpoint({RawEndpoint::answer(CompleteAnswer),
                        RawEndpoint::close(),
                        RawEndpoint::answer(CompleteAnswer)});
  EXPECT_EQ(send(Endpoint.address(), "POST").OfferResult_.Fault_,
            AnswerFault::None);
  CompletedOffer Second = send(Endpoint.address(), "POST");
  EXPECT_EQ(Second.OfferResult_.Fault_, AnswerFault::Lost);
  EXPECT_TRUE(Second.OfferResult_.MayHaveBeenSent_);
  EXPECT_EQ(Endpoint.requestsRead(), 2U);
}

TEST_F(CurlEndpointClientTest, ReusesConnectionsOfIdempotentRequests) {
  RawEndpoint Endpoint({RawEndpoint::answer(CompleteAnswer),
                        RawEndpoint::answer(CompleteAnswer)});
  send(Endpoint.address(), "GET");
  send(Endpoint.address(), "GET");
  EXPECT_EQ(Endpoint.connections(), 1U);
}

TEST_F(CurlEndpointClientTest, ReportsThatNothingWasSent) {
  CompletedOffer Completed = send({"127.0.0.1", 1}, "POST");
  EXPECT_FALSE(Completed.OfferResult_.MayHaveBeenSent_);
}

TEST_F(CurlEndpointClientTest, SendsNothingAfterTheDeadline) {
  RawEndpoint Endpoint({RawEndpoint::answer(CompleteAnswer)});
  CompletedOffer Completed = send(Endpoint.address(), "POST", milliseconds(-1));
  EXPECT_FALSE(Completed.OfferResult_.MayHaveBeenSent_);
  EXPECT_EQ(Endpoint.requestsRead(), 0U);
}

struct Case {
  const char *Answer_;
  AnswerFault Fault_;
};

TEST_F(CurlEndpointClientTest, DetectsIncompleteAnswers) {
  const std::vector<Case> Cases{
      {CompleteAnswer, AnswerFault::None},
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
    CompletedOffer Completed = send(Endpoint.address(), "POST");
    EXPECT_EQ(Completed.OfferResult_.Fault_, Each.Fault_) << Each.Answer_;
    EXPECT_TRUE(Completed.OfferResult_.MayHaveBeenSent_);
  }
}

TEST_F(CurlEndpointClientTest, RejectsAnAnswerOverTheSizeLimit) {
  std::string Oversized =
      "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + std::string(101, 'x');
  RawEndpoint Endpoint({RawEndpoint::answerAndClose(Oversized)});
  EXPECT_EQ(send(Endpoint.address(), "GET").OfferResult_.Fault_,
            AnswerFault::TooLarge);
}

TEST_F(CurlEndpointClientTest, DoesNotReuseAConnectionThatTimedOut) {
  RawEndpoint Endpoint(
      {RawEndpoint::silence(), RawEndpoint::answer(CompleteAnswer)});
  CompletedOffer Late = send(Endpoint.address(), "GET", milliseconds(100));
  EXPECT_EQ(Late.OfferResult_.Fault_, AnswerFault::Timeout);
  CompletedOffer Next = send(Endpoint.address(), "GET");
  EXPECT_EQ(Next.Answer_.Body_, "ok");
  EXPECT_EQ(Endpoint.connections(), 2U);
}

TEST_F(CurlEndpointClientTest, DoesNotMixAnswersOfAReusedConnection) {
  // Bytes beyond Content-Length must not be taken for the next response.
  std::string Excess = std::string(CompleteAnswer) +
                       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
  RawEndpoint Endpoint(
      {RawEndpoint::answer(Excess), RawEndpoint::answer(CompleteAnswer)});
  EXPECT_EQ(send(Endpoint.address(), "GET").Answer_.Body_, "ok");
  CompletedOffer Second = send(Endpoint.address(), "GET");
  EXPECT_NE(Second.Answer_.Body_, "wrong");
}

} // namespace
} // namespace dragonflylock
