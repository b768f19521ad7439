#include "childprocess.h"
#include "clientcrowd.h"
#include "freeaddresses.h"
#include "processusage.h"
#include "soakfleet.h"
#include "standinstore.h"

#include "http/internal/curlclient.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr std::size_t Megabyte = 1U << 20U;
/// Bound for the resident memory at all times.
constexpr std::size_t PeakBound = 64 * Megabyte;
/// Bound some seconds after the crowd has left.
constexpr std::size_t RestBound = 32 * Megabyte;
/// Descriptors that the daemon is told that it may use.
constexpr std::size_t DescriptorBound = 512;
constexpr std::size_t CrowdSize = 200;
constexpr std::size_t IdleCrowdSize = 600;
constexpr std::size_t Reconnects = 2;
/// Generous: on an idle machine the largest crowd takes some seconds.
constexpr milliseconds PlayLimit{30'000};
/// The daemon reads what the kernel has buffered in this time.
constexpr milliseconds HoldTime{2'000};
constexpr milliseconds EventualLimit{30'000};

std::string repeated(const std::string &Text, std::size_t Count) {
  std::string Result;
  Result.reserve(Text.size() * Count);
  for (std::size_t Each = 0; Each < Count; ++Each)
    Result += Text;
  return Result;
}

/// \returns a POST with \p Count chunks of \p Size bytes and without an end.
std::string unfinishedBody(std::size_t Size, std::size_t Count) {
  char SizeText[17] = {};
  std::snprintf(SizeText, sizeof(SizeText), "%zx", Size);
  return "POST /q0/x HTTP/1.1\r\nHost: host\r\n"
         "Transfer-Encoding: chunked\r\n\r\n" +
         repeated(std::string(SizeText) + "\r\n" + std::string(Size, 'x') +
                      "\r\n",
                  Count);
}

/// A daemon with a small machine's limits, and crowds of clients that nobody
/// controls. The checks are that it lives within its limits and serves again.
class UnboundedClients : public testing::Test {
protected:
  UnboundedClients() {
    auto Ports = freeAddresses(2);
    Callers_ = Ports[0];
    Directory_ = ::testing::TempDir() + "/unboundedclients-" +
                 std::to_string(Callers_.Port_);
    std::filesystem::create_directories(Directory_);
  }
  ~UnboundedClients() override {
    Daemon_.reset();
    if (!HasFailure())
      std::filesystem::remove_all(Directory_);
  }

  /// Starts the daemon.
  /// \param Limits those of its configuration document.
  void start(const nlohmann::json &Limits) {
    const nlohmann::json Route = {{"name", "q0"},
                                  {"host", "host"},
                                  {"path_prefix", "/q0/"},
                                  {"service", "pool"},
                                  {"max_attempts", 3}};
    const nlohmann::json Pool = {{"name", "pool"}};
    const nlohmann::json Document = {
        {"version", 1},
        {"routes", nlohmann::json::array({Route})},
        {"services", nlohmann::json::array({Pool})},
        {"limits", Limits}};
    Store_.put("op", "config", Document.dump());
    const std::string Settings = Directory_ + "/node.conf";
    std::ofstream(Settings)
        << "node_name=node\nzone=a\nlisten.front=" << Callers_.text()
        << "\nlisten.readiness=127.0.0.1:" << Callers_.Port_ + 1
        << "\nplatform.address=" << Store_.address().text()
        << "\nlimits.memory_mb=160\nlimits.max_fds=" << DescriptorBound << "\n";
    Daemon_ = std::make_unique<ChildProcess>(
        "dragonflylockd", std::vector<std::string>{"--config", Settings},
        Settings + ".log");
    ASSERT_TRUE(eventually([this] { return isServing(); }));
  }

  /// Plays a crowd whose clients each send \p Bytes, and checks the bounds.
  void play(std::size_t Count, const std::string &Bytes) {
    std::size_t MostDescriptors = 0;
    {
      ClientCrowd Crowd(Callers_, Count, Bytes, Reconnects);
      Crowd.play(PlayLimit, HoldTime, [&] {
        MostDescriptors = std::max(MostDescriptors, usage().Descriptors_);
      });
    }
    ASSERT_GT(usage().ResidentBytes_, 0U) << "the daemon has ended";
    EXPECT_LT(usage().PeakResidentBytes_, PeakBound);
    EXPECT_LT(MostDescriptors, DescriptorBound);
    EXPECT_TRUE(eventually([this] { return isServing(); }));
    EXPECT_TRUE(eventually([this] {
      return usage().ResidentBytes_ < RestBound;
    })) << usage().ResidentBytes_;
    RecordProperty("peak", std::to_string(usage().PeakResidentBytes_));
    RecordProperty("rest", std::to_string(usage().ResidentBytes_));
    RecordProperty("descriptors", std::to_string(MostDescriptors));
  }

private:
  static bool eventually(const std::function<bool()> &Holds) {
    const auto GiveUpAt = Clock::now() + EventualLimit;
    while (Clock::now() < GiveUpAt) {
      if (Holds())
        return true;
      std::this_thread::sleep_for(milliseconds(20));
    }
    return Holds();
  }

  ProcessUsage usage() const { return ProcessUsage::of(Daemon_->id()); }

  /// \returns whether one ordinary job is accepted.
  bool isServing() {
    const nlohmann::json Step = {
        {"count", 1}, {"cpu", 500}, {"mem_mb", 10}, {"estimate_ms", 50}};
    const nlohmann::json Job = {{"spec", "50"},
                                {"steps", nlohmann::json::array({Step})}};
    CurlClient Client;
    auto Answer = Client.exchange("http://" + Callers_.text(),
                                  {"POST",
                                   "/q0/" + soakJobId(0, ++Jobs_),
                                   {{"Host", "host"}, {"Deadline-Ms", "1000"}},
                                   Job.dump()},
                                  milliseconds(1500));
    return Answer && Answer.value().Status_ == httpstatus::Ok;
  }

  StandInStore Store_;
  SocketAddress Callers_;
  std::string Directory_;
  std::uint64_t Jobs_ = 0;
  std::unique_ptr<ChildProcess> Daemon_;
};

/// Limits of a configuration that allows each of the bodies, so that only the
/// memory of all of them together is too much.
const nlohmann::json LargeBodies = {{"max_header_bytes", 16384},
                                    {"max_body_bytes", Megabyte},
                                    {"header_timeout_ms", 3000},
                                    {"idle_timeout_ms", 15000}};
const nlohmann::json SmallBodies = {{"max_header_bytes", 16384},
                                    {"max_body_bytes", 262144},
                                    {"header_timeout_ms", 1000},
                                    {"idle_timeout_ms", 3000}};

// Guards against memory that grows with the unfinished bodies of all callers.
TEST_F(UnboundedClients, UnfinishedBodiesInLargeChunks) {
  start(LargeBodies);
  play(CrowdSize, unfinishedBody(9000, 100));
}

// Guards against the records that the parser keeps for each chunk.
TEST_F(UnboundedClients, UnfinishedBodiesInOneByteChunks) {
  start(LargeBodies);
  play(CrowdSize, unfinishedBody(1, 200'000));
}

// Guards against memory reserved or kept for a body that is too large.
TEST_F(UnboundedClients, AnnouncedBodiesOverTheLimit) {
  start(SmallBodies);
  play(CrowdSize, "POST /q0/x HTTP/1.1\r\nHost: host\r\n"
                  "Content-Length: 900000\r\n\r\n" +
                      std::string(800'000, 'x'));
}

// Guards against bodies that show their size only as they arrive.
TEST_F(UnboundedClients, ChunkedBodiesOverTheLimit) {
  start(SmallBodies);
  play(CrowdSize, unfinishedBody(64U << 10U, 64));
}

// Guards against records of many short fields.
TEST_F(UnboundedClients, HeadsOverTheLimit) {
  start(SmallBodies);
  play(CrowdSize,
       "GET /q0/x HTTP/1.1\r\nHost: host\r\n" + repeated("a:b\r\n", 12'000));
}

// Guards against a head that is read on without a limit.
TEST_F(UnboundedClients, HeadsWithoutEnd) {
  start(SmallBodies);
  play(CrowdSize, "GET /q0/x HTTP/1.1\r\nHost: host\r\n" +
                      repeated("X-Field: some value\r\n", 50'000));
}

// Guards against input that never becomes a request.
TEST_F(UnboundedClients, EmptyLinesWithoutEnd) {
  start(SmallBodies);
  play(CrowdSize, repeated("\r\n", 500'000));
}

// Guards against connections that leave no descriptors for other uses.
TEST_F(UnboundedClients, IdleConnections) {
  start(SmallBodies);
  play(IdleCrowdSize, "");
}

} // namespace
} // namespace dragonflylock
