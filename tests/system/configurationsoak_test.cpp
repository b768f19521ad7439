#include "childprocess.h"
#include "freeaddresses.h"
#include "standinstore.h"
#include "tcprelay.h"

#include "http/httptypes.h"
#include "http/internal/curlclient.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <optional>
#include <random>
#include <thread>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

/// Time within which a stored configuration must be in force.
constexpr milliseconds ConfigurationDelay{2000};
/// Time after a fault on a node until the bounds hold for it again.
constexpr milliseconds ContactTime{3000};
constexpr std::size_t NodeCount = 3;

std::uint64_t numberFrom(const char *Variable, std::uint64_t Default) {
  const char *Text = std::getenv(Variable);
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

/// When a queue was added to the configuration, and when it was removed.
struct QueueHistory {
  TimePoint AddedAt_;
  std::optional<TimePoint> RemovedAt_;
};

/// Nodes as processes of their own, each with a relay on its way to the store.
class ConfigurationSoak : public testing::TestWithParam<std::uint64_t> {
protected:
  struct Node {
    SocketAddress Callers_;
    std::string Settings_;
    std::unique_ptr<TcpRelay> StoreLink_;
    std::unique_ptr<ChildProcess> Process_;
    bool IsPaused_ = false;
    /// End of the last fault that befell the node's process or connections.
    std::atomic<TimePoint> FaultUntil_;
  };

  ConfigurationSoak() : Random_(GetParam()) {
    auto Ports = freeAddresses(2 * NodeCount);
    Directory_ = ::testing::TempDir() + "/soak-" + std::to_string(GetParam()) +
                 "-" + std::to_string(Ports.front().Port_);
    std::filesystem::create_directories(Directory_);
    addQueue();
    for (std::size_t Index = 0; Index < NodeCount; ++Index) {
      Node &Each = Nodes_[Index];
      Each.Callers_ = Ports[2 * Index];
      Each.StoreLink_ = std::make_unique<TcpRelay>(Store_.address());
      Each.Settings_ = Directory_ + "/node-" + std::to_string(Index) + ".conf";
      std::ofstream(Each.Settings_)
          << "node_name=node-" << Index
          << "\nzone=a\nlisten.front=" << Each.Callers_.text()
          << "\nlisten.readiness=" << Ports[2 * Index + 1].text()
          << "\nplatform.address=" << Each.StoreLink_->address().text()
          << "\nbounds.config_apply_ms=" << ConfigurationDelay.count() << "\n";
      start(Each);
    }
  }
  ~ConfigurationSoak() override {
    if (!HasFailure())
      std::filesystem::remove_all(Directory_);
  }

  /// Starts the node's process, after killing the one that runs.
  void start(Node &Each) {
    Each.Process_.reset();
    Each.Process_ = std::make_unique<ChildProcess>(
        "dragonflylockd", std::vector<std::string>{"--config", Each.Settings_},
        Each.Settings_ + ".log");
    Each.IsPaused_ = false;
    Each.FaultUntil_ = Clock::now();
  }

  std::uint64_t pick(std::uint64_t From, std::uint64_t To) {
    return std::uniform_int_distribution<std::uint64_t>(From, To)(Random_);
  }
  milliseconds pickTime(std::uint64_t From, std::uint64_t To) {
    return milliseconds(pick(From, To));
  }

  void addQueue() {
    storeConfiguration(
        [this] { Queues_["q" + std::to_string(NextQueue_++)] = {}; });
  }
  void removeQueue() {
    storeConfiguration([this] {
      std::vector<QueueHistory *> Present;
      for (auto &[Name, Each] : Queues_)
        if (!Each.RemovedAt_)
          Present.push_back(&Each);
      if (Present.size() > 1)
        Present[pick(0, Present.size() - 1)]->RemovedAt_ = TimePoint::max();
    });
  }
  /// Stores a configuration after \p Change of the queues, and notes when it
  /// was acknowledged.
  template <typename Change> void storeConfiguration(Change Apply) {
    const std::lock_guard Lock(Mutex_);
    Apply();
    Version_ += pick(1, 4);
    auto Routes = nlohmann::json::array();
    for (const auto &[Name, Each] : Queues_)
      if (!Each.RemovedAt_)
        Routes.push_back({{"name", Name},
                          {"host", "host"},
                          {"path_prefix", "/" + Name + "/"},
                          {"service", "pool"}});
    const nlohmann::json Pool = {{"name", "pool"}};
    const nlohmann::json Document = {
        {"version", Version_},
        {"routes", Routes},
        {"services", nlohmann::json::array({Pool})},
        {"limits", nlohmann::json::object()}};
    Store_.put("op", "config", Document.dump());
    const TimePoint Now = Clock::now();
    for (auto &[Name, Each] : Queues_) {
      if (Each.AddedAt_ == TimePoint())
        Each.AddedAt_ = Now;
      if (Each.RemovedAt_ == TimePoint::max())
        Each.RemovedAt_ = Now;
    }
  }

  /// Begins or ends a fault on a node.
  void playFault(Node &Each) {
    Each.FaultUntil_ = Clock::now();
    if (Each.IsPaused_) {
      Each.Process_->signal(SIGCONT);
      Each.IsPaused_ = false;
      return;
    }
    switch (pick(0, 7)) {
    case 0:
    case 1:
    case 2:
      Each.StoreLink_->silenceOpenConnections();
      return;
    case 3:
      Each.StoreLink_->setMode(TcpRelay::Mode::Swallow);
      return;
    case 4:
      Each.StoreLink_->setMode(TcpRelay::Mode::Refuse);
      return;
    case 5:
      Each.Process_->signal(SIGSTOP);
      Each.IsPaused_ = true;
      return;
    case 6:
      start(Each);
      return;
    default:
      Each.StoreLink_->setMode(TcpRelay::Mode::Pass);
    }
  }

  void endFaults() {
    for (Node &Each : Nodes_) {
      Each.FaultUntil_ = Clock::now();
      Each.StoreLink_->setMode(TcpRelay::Mode::Pass);
      Each.Process_->signal(SIGCONT);
    }
  }

  void report(std::size_t Index, const std::string &What) {
    auto Since = [](TimePoint Time) {
      return std::to_string(
          std::chrono::duration_cast<milliseconds>(Clock::now() - Time)
              .count());
    };
    ADD_FAILURE() << "seed " << GetParam() << ", node " << Index << ", "
                  << Since(Start_) << " ms, "
                  << Since(Nodes_[Index].FaultUntil_)
                  << " ms after its last fault: " << What << "; logs in "
                  << Directory_;
  }

  /// Asks node \p Index for queues until \p IsOver, and checks the answers.
  void call(std::size_t Index, const std::atomic<bool> &IsOver) {
    std::mt19937_64 Random(GetParam() * NodeCount + Index);
    CurlClient Client;
    while (!IsOver) {
      std::this_thread::sleep_for(milliseconds(Random() % 20));
      std::string Name;
      {
        const std::lock_guard Lock(Mutex_);
        const std::size_t Recent = std::min<std::size_t>(NextQueue_ + 1, 12);
        Name = "q" + std::to_string(NextQueue_ - Random() % Recent);
      }
      const bool IsSubmission = Random() % 4 == 0;
      checkCall(Client, Index, Name, IsSubmission ? nextJob() : "");
    }
  }

  std::string nextJob() {
    const std::uint64_t Number = ++Jobs_;
    std::array<char, 17> Id{};
    std::snprintf(Id.data(), Id.size(), "%016llx",
                  static_cast<unsigned long long>(Number));
    return Id.data();
  }

  /// \param Job the job to submit; empty to ask for the pending count.
  void checkCall(CurlClient &Client, std::size_t Index, const std::string &Name,
                 const std::string &Job) {
    const Node &Each = Nodes_[Index];
    HttpRequest Request{Job.empty() ? "GET" : "POST",
                        "/" + Name + "/" + Job,
                        {{"Host", "host"}, {"Deadline-Ms", "1000"}},
                        ""};
    if (!Job.empty())
      Request.Body_ = R"({"spec":"s","steps":[{"count":1,"cpu":1}]})";
    const TimePoint SentAt = Clock::now();
    auto Answer = Client.exchange("http://" + Each.Callers_.text(), Request,
                                  milliseconds(1500));
    if (!Answer)
      return;
    const int Status = Answer.value().Status_;
    const std::lock_guard Lock(Mutex_);
    ++Answers_[Status];
    auto Found = Queues_.find(Name);
    const bool Exists = Found != Queues_.end();
    const bool IsPresent = Exists && !Found->second.RemovedAt_ &&
                           Found->second.AddedAt_ + ConfigurationDelay < SentAt;
    const bool IsGone =
        !Exists || (Found->second.RemovedAt_ &&
                    *Found->second.RemovedAt_ + ConfigurationDelay < SentAt);
    if (Status == httpstatus::NotFound && IsPresent)
      report(Index, "404 for " + Name + ", which is there");
    // A submission needs the store's answer but not a current configuration,
    // which is bound only while the node is in contact.
    const bool IsInContact = Each.FaultUntil_.load() + ContactTime < SentAt;
    if (Status == httpstatus::Ok && IsGone && (Job.empty() || IsInContact))
      report(Index, "200 for " + Name + ", which is not there");
    if (Status == httpstatus::Ok && !Job.empty())
      Accepted_.emplace_back(Name, Request.Target_);
  }

  /// \returns the status of a GET request to a node.
  static int get(const Node &Each, const std::string &Path) {
    CurlClient Client;
    auto Answer = Client.exchange("http://" + Each.Callers_.text(),
                                  {"GET", Path, {{"Host", "host"}}, ""},
                                  milliseconds(1500));
    return Answer ? Answer.value().Status_ : 0;
  }

  /// Checks that each accepted job of a queue that is there is known.
  void checkAcceptedJobs() {
    for (const auto &[Queue, Path] : Accepted_)
      if (!Queues_[Queue].RemovedAt_)
        EXPECT_EQ(get(Nodes_[pick(0, NodeCount - 1)], Path), httpstatus::Ok)
            << "seed " << GetParam() << ", " << Path;
  }

  std::mt19937_64 Random_;
  std::string Directory_;
  StandInStore Store_;
  std::mutex Mutex_;
  std::map<std::string, QueueHistory> Queues_;
  std::uint64_t NextQueue_ = 0;
  std::uint64_t Version_ = 0;
  /// Queues and paths of the jobs that were accepted.
  std::vector<std::pair<std::string, std::string>> Accepted_;
  std::map<int, std::size_t> Answers_;
  std::atomic<std::uint64_t> Jobs_ = 0;
  std::array<Node, NodeCount> Nodes_;
  const TimePoint Start_ = Clock::now();
};

TEST_P(ConfigurationSoak, NoNodeAnswersByAnOutdatedConfiguration) {
  const milliseconds Duration(numberFrom("SOAK_MILLISECONDS", 15'000));
  std::atomic<bool> IsOver = false;
  std::vector<std::thread> Callers;
  for (std::size_t Index = 0; Index < NodeCount; ++Index)
    Callers.emplace_back([this, Index, &IsOver] { call(Index, IsOver); });
  TimePoint NextChange = Start_ + milliseconds(1000);
  std::array<TimePoint, NodeCount> NextFault;
  NextFault.fill(Start_ + milliseconds(2000));
  while (Clock::now() < Start_ + Duration) {
    std::this_thread::sleep_for(milliseconds(5));
    if (Clock::now() >= NextChange) {
      if (pick(0, 1) == 0)
        addQueue();
      else
        removeQueue();
      NextChange = Clock::now() + pickTime(100, 900);
    }
    for (std::size_t Index = 0; Index < NodeCount; ++Index)
      if (Clock::now() >= NextFault[Index]) {
        playFault(Nodes_[Index]);
        NextFault[Index] = Clock::now() + pickTime(50, 4000);
      }
  }
  endFaults();
  const TimePoint Recovered = Clock::now() + ContactTime + ConfigurationDelay;
  std::this_thread::sleep_until(Recovered);
  IsOver = true;
  for (std::thread &Each : Callers)
    Each.join();
  for (std::size_t Index = 0; Index < NodeCount; ++Index)
    EXPECT_EQ(get(Nodes_[Index], "/never/"), httpstatus::NotFound)
        << "seed " << GetParam() << ", node " << Index;
  checkAcceptedJobs();
  EXPECT_GT(Accepted_.size(), 0U);
  EXPECT_GT(Answers_[httpstatus::NotFound], 0U);
  for (const auto &[Status, Count] : Answers_)
    RecordProperty("answers-" + std::to_string(Status), std::to_string(Count));
}

INSTANTIATE_TEST_SUITE_P(Seeds, ConfigurationSoak,
                         testing::Range(numberFrom("SOAK_FIRST", 1),
                                        numberFrom("SOAK_FIRST", 1) +
                                            numberFrom("SOAK_COUNT", 3)));

} // namespace
} // namespace dragonflylock
