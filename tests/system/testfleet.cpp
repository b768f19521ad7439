#include "testfleet.h"
#include "freeaddresses.h"

#include "http/internal/curlclient.h"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <filesystem>
#include <thread>

#include <unistd.h>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds ExchangeLimit{30'000};
constexpr milliseconds EventualLimit{30'000};
constexpr std::size_t InstanceCount = 3;

std::string zoneOf(std::size_t Index) { return Index % 2 == 0 ? "a" : "b"; }

} // namespace

std::string headerOf(const HttpAnswer &Answer, const char *Name) {
  const std::string *Found = findHeader(Answer.Headers_, Name);
  return Found == nullptr ? std::string() : *Found;
}

TestFleet::TestFleet(std::size_t Entries) {
  constexpr std::size_t PortsPerEntry = 3;
  std::vector<SocketAddress> Ports =
      freeAddresses(1 + InstanceCount + PortsPerEntry * Entries);
  Directory_ =
      ::testing::TempDir() + "/fleet-" + std::to_string(Ports.front().Port_);
  std::filesystem::remove_all(Directory_);
  std::filesystem::create_directories(Directory_);
  auto Next = Ports.begin();
  Platform_ = *Next++;
  std::string Listed;
  std::string Played;
  for (std::size_t Index = 0; Index < InstanceCount; ++Index) {
    Instances_.push_back(*Next++);
    std::string Id = "w" + std::to_string(Index);
    std::string Address = Instances_.back().text();
    Played.append(Id).append("=").append(Address).append(",");
    Listed.append(Id).append("=").append(Address).append("@");
    Listed.append(zoneOf(Index)).append("/r");
    Listed.append(std::to_string(Index)).append("/rota,");
  }
  Traces_.push_back(path("endpoint.trace"));
  InstanceProcess_ = std::make_unique<ChildProcess>(
      "dragonflylock-endpoint",
      std::vector<std::string>{"--instances=" + Played,
                               "--trace=" + Traces_.back()},
      path("endpoint.log"));
  PlatformProcess_ = std::make_unique<ChildProcess>(
      "dragonflylock-platform",
      std::vector<std::string>{"--listen=" + Platform_.text(),
                               "--instances=" + Listed},
      path("platform.log"));
  Entries_.resize(Entries);
  for (EntryInstance &Each : Entries_) {
    Each.Callers_ = *Next++;
    Each.Operators_ = *Next++;
    Each.Peers_ = *Next++;
    Each.PlatformLink_ = std::make_unique<TcpRelay>(Platform_);
  }
  for (std::size_t From = 0; From < Entries; ++From) {
    for (std::size_t To = 0; To < Entries; ++To) {
      if (From != To)
        Entries_[From].PeerLinks_[To] =
            std::make_unique<TcpRelay>(Entries_[To].Peers_);
    }
  }
  for (std::size_t Index = 0; Index < Entries; ++Index) {
    Traces_.push_back(path("entry" + std::to_string(Index) + ".trace"));
    startEntry(Index);
  }
}

std::string TestFleet::path(const std::string &Name) const {
  return Directory_ + "/" + Name;
}

void TestFleet::startEntry(std::size_t Index) {
  EntryInstance &Entry = Entries_[Index];
  Entry.Process_.reset();
  std::string Peers;
  for (const auto &[To, Link] : Entry.PeerLinks_)
    Peers += Link->address().text() + ",";
  std::string Name = "entry" + std::to_string(Index);
  Entry.Process_ = std::make_unique<ChildProcess>(
      "dragonflylockd",
      std::vector<std::string>{
          "--name=" + Name, "--zone=" + zoneOf(Index),
          "--callers=" + Entry.Callers_.text(),
          "--operators=" + Entry.Operators_.text(),
          "--peer-listen=" + Entry.Peers_.text(), "--peers=" + Peers,
          "--platform=http://" + Entry.PlatformLink_->address().text(),
          "--poll-interval=100ms", "--platform-timeout=1s",
          "--drain-grace=500ms", "--trace=" + path(Name + ".trace")},
      path(Name + ".log"));
}

bool TestFleet::eventually(const std::function<bool()> &Holds) {
  constexpr milliseconds Interval{20};
  for (auto Left = EventualLimit; Left.count() > 0; Left -= Interval) {
    if (Holds())
      return true;
    std::this_thread::sleep_for(Interval);
  }
  return Holds();
}

void TestFleet::checkTraces() {
  for (EntryInstance &Each : Entries_)
    Each.Process_.reset();
  InstanceProcess_.reset();
  std::vector<std::string> Words{"trace", "check"};
  for (const std::string &Trace : Traces_) {
    if (std::filesystem::exists(Trace))
      Words.push_back(Trace);
  }
  ChildProcess Check("dragonflylock", Words, path("check.log"));
  EXPECT_EQ(Check.wait(), 0) << "see " << path("check.log");
  PlatformProcess_.reset();
  if (!::testing::Test::HasFailure())
    std::filesystem::remove_all(Directory_);
}

HttpAnswer TestFleet::exchange(const SocketAddress &Address,
                               const HttpRequest &Request) {
  CurlClient Client;
  auto Answer =
      Client.exchange("http://" + Address.text(), Request, ExchangeLimit);
  return Answer ? Answer.value() : HttpAnswer{};
}

void TestFleet::configure(std::size_t Index, const std::string &Document) {
  HttpRequest Request{"PUT", "/v1/configuration", {}, Document};
  EXPECT_TRUE(eventually([&] {
    return exchange(Entries_[Index].Operators_, Request).Status_ ==
           httpstatus::Ok;
  }));
}

void TestFleet::waitReady(std::size_t Index) {
  EXPECT_TRUE(eventually([&] {
    return exchange(Entries_[Index].Operators_, {"GET", "/readyz", {}, {}})
               .Status_ == httpstatus::Ok;
  })) << "entry "
      << Index;
}

std::uint64_t TestFleet::versionAt(std::size_t Index) {
  HttpAnswer Answer = exchange(Entries_[Index].Operators_,
                               {"GET", "/v1/configuration", {}, {}});
  if (Answer.Status_ != httpstatus::Ok)
    return 0;
  return nlohmann::json::parse(Answer.Body_).at("version");
}

void TestFleet::setPlatformLink(std::size_t Index, TcpRelay::Mode Value) {
  Entries_[Index].PlatformLink_->setMode(Value);
}

void TestFleet::setPeerLinks(std::size_t Index, TcpRelay::Mode Value) {
  for (auto &[To, Link] : Entries_[Index].PeerLinks_) {
    Link->setMode(Value);
    Entries_[To].PeerLinks_[Index]->setMode(Value);
  }
}

void TestFleet::setPlatformFaults(const std::string &Json) {
  HttpRequest Request{"PUT", "/_standin/faults", {}, Json};
  EXPECT_TRUE(eventually(
      [&] { return exchange(Platform_, Request).Status_ == httpstatus::Ok; }));
}

void TestFleet::setInstanceFaults(std::size_t Index, const std::string &Json) {
  HttpRequest Request{"PUT", "/_standin/faults", {}, Json};
  EXPECT_EQ(exchange(Instances_[Index], Request).Status_, httpstatus::Ok);
}

void TestFleet::listInstance(std::size_t Index, const std::string &State,
                             std::uint64_t Generation) {
  std::string Id = "w" + std::to_string(Index);
  nlohmann::json Body{{"id", Id},
                      {"address", Instances_[Index].text()},
                      {"zone", zoneOf(Index)},
                      {"rack", "r" + std::to_string(Index)},
                      {"state", State},
                      {"generation", Generation}};
  HttpRequest Request{"PUT", "/_standin/instances/" + Id, {}, Body.dump()};
  EXPECT_EQ(exchange(Platform_, Request).Status_, httpstatus::Ok);
}

HttpAnswer TestFleet::operate(std::size_t Index, const HttpRequest &Request) {
  return exchange(Entries_[Index].Operators_, Request);
}

HttpAnswer TestFleet::send(std::size_t Index, const HttpRequest &Request) {
  return exchange(Entries_[Index].Callers_, Request);
}

HttpAnswer TestFleet::post(std::size_t Index, const std::string &Id,
                           const std::string &Key, int WorkMs,
                           const std::string &Body) {
  HttpRequest Request{"POST", "/rota/swaps", {}, Body};
  Request.Headers_ = {{"X-Load-Id", Id}, {"X-Work-Ms", std::to_string(WorkMs)}};
  if (!Key.empty())
    Request.Headers_.push_back({"Idempotency-Key", Key});
  return send(Index, Request);
}

HttpAnswer TestFleet::get(std::size_t Index, const std::string &Id) {
  return send(Index, {"GET", "/rota/swaps", {{"X-Load-Id", Id}}, {}});
}

std::size_t TestFleet::reads(const std::string &Id) {
  std::size_t Count = 0;
  for (const SocketAddress &Instance : Instances_) {
    HttpAnswer Answer = exchange(Instance, {"GET", "/_standin/record", {}, {}});
    auto Record = nlohmann::json::parse(Answer.Body_);
    for (const auto &Read : Record.at("read"))
      Count += Read.get<std::string>() == Id ? 1 : 0;
  }
  return Count;
}

std::size_t TestFleet::readsAt(std::size_t Index) {
  HttpAnswer Answer =
      exchange(Instances_[Index], {"GET", "/_standin/record", {}, {}});
  return nlohmann::json::parse(Answer.Body_).at("read").size();
}

std::vector<SocketAddress> TestFleet::callerPorts() const {
  std::vector<SocketAddress> Ports;
  for (const EntryInstance &Each : Entries_)
    Ports.push_back(Each.Callers_);
  return Ports;
}

std::vector<SocketAddress> TestFleet::operatorPorts() const {
  std::vector<SocketAddress> Ports;
  for (const EntryInstance &Each : Entries_)
    Ports.push_back(Each.Operators_);
  return Ports;
}

} // namespace dragonflylock
