#include "soakfleet.h"

#include "freeaddresses.h"

#include "http/internal/curlclient.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

namespace dragonflylock {

using std::chrono::milliseconds;

std::uint64_t numberFrom(const char *Variable, std::uint64_t Default) {
  const char *Text = std::getenv(Variable);
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

std::pair<std::uint64_t, std::uint64_t> soakSeeds() {
  const std::uint64_t First = numberFrom("SOAK_FIRST", 1);
  return {First, First + numberFrom("SOAK_COUNT", 3)};
}

std::string soakJobId(std::uint64_t Caller, std::uint64_t Number) {
  std::array<char, 17> Id{};
  std::snprintf(Id.data(), Id.size(), "%08llx%08llx",
                static_cast<unsigned long long>(Caller),
                static_cast<unsigned long long>(Number));
  return Id.data();
}

SoakFleet::SoakFleet(std::uint64_t Seed) : Random_(Seed) {
  auto Ports = freeAddresses(2 * NodeCount);
  Directory_ = ::testing::TempDir() + "/soak-" + std::to_string(Seed) + "-" +
               std::to_string(Ports.front().Port_);
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

void SoakFleet::removeDirectory() const {
  std::filesystem::remove_all(Directory_);
}

void SoakFleet::start(Node &Each) {
  Each.Process_.reset();
  Each.Process_ = std::make_unique<ChildProcess>(
      "dragonflylockd", std::vector<std::string>{"--config", Each.Settings_},
      Each.Settings_ + ".log");
  Each.IsPaused_ = false;
  Each.LastFault_ = Clock::now();
}

std::uint64_t SoakFleet::pick(std::uint64_t From, std::uint64_t To) {
  return std::uniform_int_distribution<std::uint64_t>(From, To)(Random_);
}

milliseconds SoakFleet::pickTime(std::uint64_t From, std::uint64_t To) {
  return milliseconds(pick(From, To));
}

void SoakFleet::addQueue() {
  storeConfiguration(
      [this] { Queues_["q" + std::to_string(NextQueue_++)] = {}; });
}

void SoakFleet::removeQueue() {
  storeConfiguration([this] {
    std::vector<QueueHistory *> Present;
    for (auto &[Name, Each] : Queues_)
      if (!Each.RemovedAt_)
        Present.push_back(&Each);
    if (Present.size() > 1)
      Present[pick(0, Present.size() - 1)]->RemovedAt_ = TimePoint::max();
  });
}

void SoakFleet::storeConfiguration(const std::function<void()> &Change) {
  const std::lock_guard Lock(Mutex_);
  Change();
  Version_ += pick(1, 4);
  auto Routes = nlohmann::json::array();
  for (const auto &[Name, Each] : Queues_)
    if (!Each.RemovedAt_)
      Routes.push_back({{"name", Name},
                        {"host", "host"},
                        {"path_prefix", "/" + Name + "/"},
                        {"service", "pool"},
                        {"max_attempts", 1000}});
  const nlohmann::json Pool = {{"name", "pool"}, {"admission_check", true}};
  const nlohmann::json Document = {{"version", Version_},
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

std::optional<SoakFleet::QueueHistory>
SoakFleet::queue(const std::string &Name) {
  const std::lock_guard Lock(Mutex_);
  auto Found = Queues_.find(Name);
  return Found == Queues_.end() ? std::nullopt : std::optional(Found->second);
}

std::uint64_t SoakFleet::queueCount() {
  const std::lock_guard Lock(Mutex_);
  return NextQueue_;
}

void SoakFleet::playFault(std::size_t Index) {
  Node &Each = Nodes_[Index];
  Each.LastFault_ = Clock::now();
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

void SoakFleet::endFaults() {
  for (Node &Each : Nodes_) {
    Each.LastFault_ = Clock::now();
    Each.StoreLink_->setMode(TcpRelay::Mode::Pass);
    Each.Process_->signal(SIGCONT);
  }
}

bool SoakFleet::submit(IHttpClient &Client, std::size_t Node,
                       const std::string &Path, const std::string &Job) const {
  auto Answer = Client.exchange(
      "http://" + callers(Node).text(),
      {"POST", Path, {{"Host", "host"}, {"Deadline-Ms", "1000"}}, Job},
      milliseconds(1500));
  return Answer && Answer.value().Status_ == httpstatus::Ok;
}

std::vector<std::string>
SoakFleet::awaitJobs(std::vector<std::string> Paths,
                     const std::vector<std::string> &States, TimePoint Until) {
  while (!Paths.empty() && Clock::now() < Until) {
    std::erase_if(Paths, [&](const std::string &Path) {
      const std::string Body = get(pick(0, NodeCount - 1), Path).Body_;
      return std::any_of(States.begin(), States.end(),
                         [&](const std::string &State) {
                           return Body.find(State) != std::string::npos;
                         });
    });
    std::this_thread::sleep_for(milliseconds(100));
  }
  return Paths;
}

HttpAnswer SoakFleet::get(std::size_t Index, const std::string &Path) const {
  CurlClient Client;
  auto Answer = Client.exchange("http://" + Nodes_[Index].Callers_.text(),
                                {"GET", Path, {{"Host", "host"}}, ""},
                                milliseconds(1500));
  return Answer ? Answer.value() : HttpAnswer();
}

} // namespace dragonflylock
