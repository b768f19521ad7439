#include "soakfleet.h"

#include "http/httptypes.h"
#include "http/internal/curlclient.h"

#include <gtest/gtest.h>

#include <thread>
#include <utility>
#include <vector>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;
using Clock = SoakFleet::Clock;
using TimePoint = SoakFleet::TimePoint;

/// Callers of each daemon that check by which configuration they are answered.
class ConfigurationSoak : public testing::TestWithParam<std::uint64_t> {
protected:
  ConfigurationSoak() : Fleet_(GetParam()) {}
  ~ConfigurationSoak() override {
    if (!HasFailure())
      Fleet_.removeDirectory();
  }

  void report(std::size_t Node, const std::string &What) {
    auto Since = [](TimePoint Time) {
      return std::to_string(
          std::chrono::duration_cast<milliseconds>(Clock::now() - Time)
              .count());
    };
    ADD_FAILURE() << "seed " << GetParam() << ", node " << Node << ", "
                  << Since(Start_) << " ms, " << Since(Fleet_.lastFault(Node))
                  << " ms after its last fault: " << What << "; logs in "
                  << Fleet_.directory();
  }

  /// Asks a node for queues until \p IsOver, and checks the answers.
  void call(std::size_t Node, const std::atomic<bool> &IsOver) {
    std::mt19937_64 Random(GetParam() * SoakFleet::NodeCount + Node);
    CurlClient Client;
    while (!IsOver) {
      std::this_thread::sleep_for(milliseconds(Random() % 20));
      const std::uint64_t Next = Fleet_.queueCount();
      const std::uint64_t Recent = std::min<std::uint64_t>(Next + 1, 12);
      const std::string Name = "q" + std::to_string(Next - Random() % Recent);
      const bool IsSubmission = Random() % 4 == 0;
      checkCall(Client, Node, Name, IsSubmission ? soakJobId(0, ++Jobs_) : "");
    }
  }

  /// \param Job the job to submit; empty to ask for the pending count.
  void checkCall(CurlClient &Client, std::size_t Node, const std::string &Name,
                 const std::string &Job) {
    HttpRequest Request{Job.empty() ? "GET" : "POST",
                        "/" + Name + "/" + Job,
                        {{"Host", "host"}, {"Deadline-Ms", "1000"}},
                        ""};
    if (!Job.empty())
      Request.Body_ = R"({"spec":"s","steps":[{"count":1,"cpu":1}]})";
    const TimePoint SentAt = Clock::now();
    auto Answer = Client.exchange("http://" + Fleet_.callers(Node).text(),
                                  Request, milliseconds(1500));
    if (!Answer)
      return;
    const int Status = Answer.value().Status_;
    const auto Queue = Fleet_.queue(Name);
    const bool IsPresent =
        Queue && !Queue->RemovedAt_ &&
        Queue->AddedAt_ + SoakFleet::ConfigurationDelay < SentAt;
    const bool IsGone =
        !Queue || (Queue->RemovedAt_ &&
                   *Queue->RemovedAt_ + SoakFleet::ConfigurationDelay < SentAt);
    if (Status == httpstatus::NotFound && IsPresent)
      report(Node, "404 for " + Name + ", which is there");
    // A submission needs the store's answer but not a current configuration,
    // which is bound only while the node is in contact.
    const bool IsInContact =
        Fleet_.lastFault(Node) + SoakFleet::ContactTime < SentAt;
    if (Status == httpstatus::Ok && IsGone && (Job.empty() || IsInContact))
      report(Node, "200 for " + Name + ", which is not there");
    const std::lock_guard Lock(Mutex_);
    ++Answers_[Status];
    if (Status == httpstatus::Ok && !Job.empty())
      Accepted_.emplace_back(Name, Request.Target_);
  }

  /// Checks that each accepted job of a queue that is there is known.
  void checkAcceptedJobs() {
    for (const auto &[Queue, Path] : Accepted_)
      if (!Fleet_.queue(Queue)->RemovedAt_)
        EXPECT_EQ(
            Fleet_.get(Fleet_.pick(0, SoakFleet::NodeCount - 1), Path).Status_,
            httpstatus::Ok)
            << "seed " << GetParam() << ", " << Path;
  }

  SoakFleet Fleet_;
  std::mutex Mutex_;
  /// Queues and paths of the jobs that were accepted.
  std::vector<std::pair<std::string, std::string>> Accepted_;
  std::map<int, std::size_t> Answers_;
  std::atomic<std::uint64_t> Jobs_ = 0;
  const TimePoint Start_ = Clock::now();
};

TEST_P(ConfigurationSoak, NoNodeAnswersByAnOutdatedConfiguration) {
  const milliseconds Duration(numberFrom("SOAK_MILLISECONDS", 15'000));
  std::atomic<bool> IsOver = false;
  std::vector<std::thread> Callers;
  for (std::size_t Node = 0; Node < SoakFleet::NodeCount; ++Node)
    Callers.emplace_back([this, Node, &IsOver] { call(Node, IsOver); });
  TimePoint NextChange = Start_ + milliseconds(1000);
  std::array<TimePoint, SoakFleet::NodeCount> NextFault;
  NextFault.fill(Start_ + milliseconds(2000));
  while (Clock::now() < Start_ + Duration) {
    std::this_thread::sleep_for(milliseconds(5));
    if (Clock::now() >= NextChange) {
      if (Fleet_.pick(0, 1) == 0)
        Fleet_.addQueue();
      else
        Fleet_.removeQueue();
      NextChange = Clock::now() + Fleet_.pickTime(100, 900);
    }
    for (std::size_t Node = 0; Node < SoakFleet::NodeCount; ++Node)
      if (Clock::now() >= NextFault[Node]) {
        Fleet_.playFault(Node);
        NextFault[Node] = Clock::now() + Fleet_.pickTime(50, 4000);
      }
  }
  Fleet_.endFaults();
  std::this_thread::sleep_for(SoakFleet::ContactTime +
                              SoakFleet::ConfigurationDelay);
  IsOver = true;
  for (std::thread &Each : Callers)
    Each.join();
  for (std::size_t Node = 0; Node < SoakFleet::NodeCount; ++Node)
    EXPECT_EQ(Fleet_.get(Node, "/never/").Status_, httpstatus::NotFound)
        << "seed " << GetParam() << ", node " << Node;
  checkAcceptedJobs();
  EXPECT_GT(Accepted_.size(), 0U);
  EXPECT_GT(Answers_[httpstatus::NotFound], 0U);
  for (const auto &[Status, Count] : Answers_)
    RecordProperty("answers-" + std::to_string(Status), std::to_string(Count));
}

INSTANTIATE_TEST_SUITE_P(Seeds, ConfigurationSoak,
                         testing::Range(soakSeeds().first, soakSeeds().second));

} // namespace
} // namespace dragonflylock
