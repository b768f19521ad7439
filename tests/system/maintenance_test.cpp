#include "testfleet.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <thread>

namespace dragonflylock {
namespace {

constexpr const char *Document = R"(
defaults:
  deadline: 1s
  minimum-available: 60%
  failure-reserve: 0
pools:
  - name: rota
  - name: mending
routes:
  - prefix: /rota
    pool: rota
  - prefix: /mending
    pool: mending
)";

class MaintenanceTest : public ::testing::Test {
protected:
  MaintenanceTest() : Fleet_(2) {
    Fleet_.configure(0, Document);
    Fleet_.waitReady(0);
    Fleet_.waitReady(1);
  }
  void TearDown() override { Fleet_.checkTraces(); }

  nlohmann::json ask(const std::string &Path) {
    HttpAnswer Answer = Fleet_.operate(1, {"GET", Path, {}, {}});
    if (Answer.Status_ != httpstatus::Ok)
      return nlohmann::json::object();
    return nlohmann::json::parse(Answer.Body_);
  }
  std::string poolOf(const std::string &Id) {
    auto Listed =
        ask("/v1/instances").value("instances", nlohmann::json::array());
    for (const auto &Each : Listed) {
      if (Each.at("instance") == Id && Each.value("phase", "") == "serving")
        return Each.value("pool", "");
    }
    return {};
  }

  TestFleet Fleet_;
};

TEST_F(MaintenanceTest, MovesAnInstanceToAnotherPool) {
  EXPECT_TRUE(TestFleet::eventually([&] { return poolOf("w0") == "rota"; }));
  HttpRequest Move{
      "POST", "/v1/instances/move?instance=w0&pool=mending", {}, {}};
  ASSERT_EQ(Fleet_.operate(0, Move).Status_, httpstatus::Ok);
  HttpRequest Second{
      "POST", "/v1/instances/move?instance=w1&pool=mending", {}, {}};
  EXPECT_EQ(Fleet_.operate(1, Second).Status_, httpstatus::Conflict);
  EXPECT_TRUE(TestFleet::eventually([&] { return poolOf("w0") == "mending"; }));
  HttpRequest Order{"GET", "/mending/x", {{"X-Load-Id", "m"}}, {}};
  HttpAnswer Answer;
  EXPECT_TRUE(TestFleet::eventually([&] {
    Answer = Fleet_.send(1, Order);
    return Answer.Status_ == httpstatus::Ok;
  }));
  EXPECT_EQ(headerOf(Answer, "X-Instance"), "w0");
}

TEST_F(MaintenanceTest, AWaveEndsThoughItsControllerIsKilled) {
  HttpRequest Start{
      "POST", "/v1/maintenance/start", {{"Change-Reason", "kernel"}}, {}};
  ASSERT_EQ(Fleet_.operate(0, Start).Status_, httpstatus::Ok);
  EXPECT_TRUE(TestFleet::eventually(
      [&] { return ask("/v1/maintenance").value("state", "") == "running"; }));
  Fleet_.entry(0).signal(SIGKILL);
  Fleet_.startEntry(0);
  EXPECT_TRUE(TestFleet::eventually(
      [&] { return ask("/v1/maintenance").value("state", "") == "done"; }));
  for (const auto &Pool : ask("/v1/maintenance").at("pools")) {
    if (Pool.at("pool") == "rota")
      EXPECT_EQ(Pool.at("maintained"), 3);
  }
}

} // namespace
} // namespace dragonflylock
