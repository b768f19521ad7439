#include "settings/daemonsettings.h"
#include "settings/settingserrors.h"
#include "settings/settingsource.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

using StringMap = std::map<std::string, std::string>;

DaemonSettingsResult read(StringMap Flags, const StringMap &Variables = {}) {
  return readDaemonSettings(
      SettingSource(std::move(Flags), [Variables](const std::string &Name) {
        auto Found = Variables.find(Name);
        return Found == Variables.end()
                   ? std::nullopt
                   : std::optional<std::string>(Found->second);
      }));
}

const StringMap Complete{
    {"name", "e1"}, {"zone", "a"}, {"platform", "embedded"}};

TEST(DaemonSettings, AcceptsCompleteSettings) {
  DaemonSettingsResult Read = read(Complete);
  EXPECT_TRUE(Read.Faults_.empty());
  EXPECT_EQ(Read.Settings_.Name_, "e1");
}

TEST(DaemonSettings, FlagOverridesVariable) {
  StringMap Variables{{"DRAGONFLYLOCK_ZONE", "b"},
                      {"DRAGONFLYLOCK_DRAIN_GRACE", "7s"}};
  DaemonSettingsResult Read = read(Complete, Variables);
  EXPECT_EQ(Read.Settings_.Zone_, "a");
  EXPECT_EQ(Read.Settings_.DrainGrace_, std::chrono::seconds(7));
}

TEST(DaemonSettings, ReportsAllErrorsWithRemedies) {
  DaemonSettingsResult Read = read({{"platform", "ftp://x"},
                                    {"callers", "host:80"},
                                    {"peers", "127.0.0.1:1,nonsense"},
                                    {"poll-interval", "5"},
                                    {"log-level", "loud"},
                                    {"embedded-instances", "w1"}},
                                   {{"DRAGONFLYLOCK_PEER_SECRET", "short"}});
  constexpr std::size_t ExpectedFaults = 9;
  EXPECT_EQ(Read.Faults_.size(), ExpectedFaults);
  for (const Error &Fault : Read.Faults_)
    EXPECT_FALSE(Fault.remedy().empty()) << Fault.message();
}

TEST(DaemonSettings, RestrictsUnprotectedPortsToLoopbackWithNotice) {
  StringMap Flags = Complete;
  Flags["operators"] = "10.0.0.1:8081";
  Flags["peer-listen"] = "10.0.0.1:8082";
  DaemonSettingsResult Open = read(Flags);
  EXPECT_TRUE(Open.Settings_.Operators_.isLoopback());
  EXPECT_TRUE(Open.Settings_.PeerListen_.isLoopback());
  EXPECT_EQ(Open.Settings_.Notices_.size(), 2U);
  DaemonSettingsResult Protected =
      read(Flags, {{"DRAGONFLYLOCK_OPERATOR_TOKEN", "t"},
                   {"DRAGONFLYLOCK_PEER_SECRET", "0123456789abcdef"}});
  EXPECT_EQ(Protected.Settings_.Operators_.text(), "10.0.0.1:8081");
  EXPECT_TRUE(Protected.Settings_.Notices_.empty());
}

// Guards against a capacity that is set but not used, or read from no number.
TEST(DaemonSettings, ReadsTheCapacityOfTheProcess) {
  StringMap Flags = Complete;
  EXPECT_EQ(read(Flags).Settings_.MemoryLimitMb_, 0U);
  Flags["memory-limit-mb"] = "160";
  DaemonSettingsResult Read =
      read(Flags, {{"DRAGONFLYLOCK_MAX_DESCRIPTORS", "4100"}});
  EXPECT_TRUE(Read.Faults_.empty());
  EXPECT_EQ(Read.Settings_.MemoryLimitMb_, 160U);
  EXPECT_EQ(Read.Settings_.MaxDescriptors_, 4100U);
  Flags["memory-limit-mb"] = "much";
  EXPECT_EQ(read(Flags).Faults_.size(), 1U);
}

TEST(DaemonSettings, ReadsEmbeddedInstances) {
  StringMap Flags = Complete;
  Flags["embedded-instances"] = "w1=127.0.0.1:9001@a/rota";
  DaemonSettingsResult Read = read(Flags);
  ASSERT_EQ(Read.Settings_.EmbeddedInstances_.size(), 1U);
  const EmbeddedInstance &Instance = Read.Settings_.EmbeddedInstances_[0];
  EXPECT_EQ(Instance.Listed_.Zone_, "a");
  EXPECT_EQ(Instance.Pool_, "rota");
}

} // namespace
} // namespace dragonflylock
