#include "configuration/configurationerrors.h"
#include "configuration/fleetconfiguration.h"
#include "configuration/internal/yamlconfigurationparser.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace dragonflylock {
namespace {

constexpr const char *Small = R"(
defaults:
  deadline: 2s
pools:
  - name: rota
  - name: mending
exceptions:
  - pool: mending
    setting: deadline
    value: 30s
    reason: Mending takes longer.
routes:
  - prefix: /rota
    pool: rota
  - prefix: /rota/search
    pool: mending
    idempotent: true
)";

ParsedConfiguration parse(const std::string &Document) {
  return YamlConfigurationParser().parse(Document);
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Content;
  Content << File.rdbuf();
  return Content.str();
}

/// \returns whether one of the faults of \p Document is of \p Kind, names
/// line \p Line and has a remedy.
bool hasFault(const std::string &Document, ConfigurationErrc Kind, int Line) {
  for (const Error &Fault : parse(Document).Faults_) {
    bool NamesLine =
        Fault.detail().starts_with("line " + std::to_string(Line) + ":");
    if (Fault.kind() == Kind && NamesLine && !Fault.remedy().empty())
      return true;
  }
  return false;
}

TEST(YamlConfigurationParser, AppliesDefaultsThenExceptions) {
  ParsedConfiguration Parsed = parse(Small);
  ASSERT_TRUE(Parsed.Configuration_);
  const FleetConfiguration &Fleet = *Parsed.Configuration_;
  EXPECT_EQ(Fleet.findPool("rota")->Deadline_, std::chrono::seconds(2));
  EXPECT_EQ(Fleet.findPool("mending")->Deadline_, std::chrono::seconds(30));
  EXPECT_EQ(Fleet.findPool("other"), nullptr);
}

TEST(YamlConfigurationParser, RoutesByTheLongestPrefixOfWholeSegments) {
  auto Fleet = parse(Small).Configuration_;
  EXPECT_EQ(Fleet->findRoute("/rota")->Pool_, "rota");
  EXPECT_EQ(Fleet->findRoute("/rota/swaps")->Pool_, "rota");
  EXPECT_EQ(Fleet->findRoute("/rota/search/x")->Pool_, "mending");
  EXPECT_EQ(Fleet->findRoute("/rotation"), nullptr);
  EXPECT_EQ(Fleet->findRoute("/"), nullptr);
}

TEST(YamlConfigurationParser, NamesLineAndRemedyOfEachFault) {
  EXPECT_TRUE(hasFault("pools:\n  - name: a\ncolour: red\n",
                       ConfigurationErrc::UnknownKey, 3));
  EXPECT_TRUE(hasFault("defaults:\n  speed: 5\npools:\n  - name: a\n",
                       ConfigurationErrc::UnknownKey, 2));
  EXPECT_TRUE(hasFault("defaults:\n  deadline: 5\npools:\n  - name: a\n",
                       ConfigurationErrc::WrongUnit, 2));
  EXPECT_TRUE(hasFault("defaults:\n  max-attempts: 99\npools:\n  - name: a\n",
                       ConfigurationErrc::OutOfRange, 2));
  EXPECT_TRUE(hasFault("pools:\n  - name: a\n  - name: a\n",
                       ConfigurationErrc::DuplicatePool, 3));
  EXPECT_TRUE(hasFault("pools:\n  - name: a\nroutes:\n"
                       "  - prefix: /x\n    pool: a\n"
                       "  - prefix: /x\n    pool: a\n",
                       ConfigurationErrc::DuplicatePrefix, 6));
  EXPECT_TRUE(hasFault("pools:\n  - name: a\nroutes:\n"
                       "  - prefix: /x\n    pool: b\n",
                       ConfigurationErrc::UnknownPool, 4));
  EXPECT_TRUE(hasFault("pools: [\n", ConfigurationErrc::Syntax, 2));
  EXPECT_TRUE(hasFault("- a\n", ConfigurationErrc::WrongType, 1));
  EXPECT_TRUE(hasFault("defaults: {}\n", ConfigurationErrc::MissingKey, 1));
}

TEST(YamlConfigurationParser, RefusesAnExceptionWithoutReason) {
  std::string Head = "pools:\n  - name: a\nexceptions:\n"
                     "  - pool: a\n    setting: deadline\n    value: 5s\n";
  EXPECT_TRUE(hasFault(Head, ConfigurationErrc::MissingReason, 4));
  EXPECT_TRUE(hasFault(Head + "    reason: \"  \"\n",
                       ConfigurationErrc::MissingReason, 4));
  EXPECT_TRUE(parse(Head + "    reason: because\n").Configuration_);
}

TEST(YamlConfigurationParser, ReportsAllFaultsAtOnce) {
  ParsedConfiguration Parsed =
      parse("defaults:\n  deadline: 5\n  speed: 1\npools: 3\n");
  EXPECT_FALSE(Parsed.Configuration_);
  EXPECT_GE(Parsed.Faults_.size(), 3U);
}

TEST(YamlConfigurationParser, EditsExceptions) {
  YamlConfigurationParser Parser;
  auto Added =
      Parser.addException(Small, {"rota", "max-attempts", "2", "by hand"});
  ASSERT_TRUE(Added);
  auto Fleet = Parser.parse(Added.value()).Configuration_;
  ASSERT_TRUE(Fleet);
  EXPECT_EQ(Fleet->findPool("rota")->MaxAttempts_, 2U);
  auto Removed = Parser.removeException(Added.value(), "rota", "max-attempts");
  ASSERT_TRUE(Removed);
  EXPECT_EQ(Parser.parse(Removed.value()).Configuration_->exceptions().size(),
            1U);
  auto Missing = Parser.removeException(Small, "rota", "deadline");
  ASSERT_FALSE(Missing);
  EXPECT_EQ(Missing.error().kind(), ConfigurationErrc::UnknownException);
}

TEST(YamlConfigurationParser, AcceptsTheExamples) {
  for (const char *Name : {"manteleria", "batbayar", "demo"}) {
    ParsedConfiguration Parsed =
        parse(readFile(std::string(EXAMPLES) + "/" + Name + ".yaml"));
    EXPECT_TRUE(Parsed.Configuration_) << Name;
    for (const Error &Fault : Parsed.Faults_)
      ADD_FAILURE() << Name << ": " << Fault.message();
  }
}

} // namespace
} // namespace dragonflylock
