#include "configuration/configurationerrors.h"
#include "configuration/internal/yamlconfigurationparser.h"
#include "global/internal/systemclock.h"
#include "platformservices/internal/embeddedplatform.h"
#include "platformservices/platformerrors.h"
#include "platformservices/tablenames.h"
#include "platformservices/tests/mocks/faultinjectingtable.h"
#include "steering/configurationstore.h"

#include <gtest/gtest.h>

namespace dragonflylock {
namespace {

constexpr const char *First = "pools:\n  - name: first\n";
constexpr const char *Second = "pools:\n  - name: second\n";

class ConfigurationStoreTest : public ::testing::Test {
protected:
  ConfigurationChange change(const std::string &Id, const char *Document) {
    return {Document, std::nullopt, Id, "operator-" + Id, "why"};
  }
  std::size_t rowsIn(const char *Table) {
    return Platform_.readChanges(Table, 0).value().Rows_.size();
  }

  EmbeddedPlatform Platform_;
  FaultInjectingTable Table_{Platform_};
  YamlConfigurationParser Parser_;
  SystemClock Clock_;
  ConfigurationStore Store_{Table_, Parser_, Clock_};
};

TEST_F(ConfigurationStoreTest, NumbersAcceptedConfigurations) {
  EXPECT_EQ(Store_.accept(change("a", First)).value(), 1U);
  EXPECT_EQ(Store_.accept(change("b", Second)).value(), 2U);
  EXPECT_EQ(Store_.current().value()->Document_, Second);
  EXPECT_EQ(rowsIn(tables::Audit), 2U);
  EXPECT_EQ(rowsIn(tables::ConfigurationHistory), 2U);
}

TEST_F(ConfigurationStoreTest, RefusesAFaultyDocument) {
  auto Accepted = Store_.accept(change("a", "pools: 3\n"));
  ASSERT_FALSE(Accepted);
  EXPECT_EQ(rowsIn(tables::Configuration), 0U);
}

TEST_F(ConfigurationStoreTest, VersionConflictNamesTheOtherOperator) {
  Store_.accept(change("a", First));
  ConfigurationChange Mine = change("b", Second);
  ConfigurationChange Theirs = change("c", Second);
  Mine.Expected_ = 1;
  Theirs.Expected_ = 1;
  // The other operator's change is accepted between the read and the write of
  // this one.
  Table_.runBeforeNextTransaction([&] {
    ConfigurationStore Other(Platform_, Parser_, Clock_);
    EXPECT_TRUE(Other.accept(Theirs));
  });
  auto Accepted = Store_.accept(Mine);
  ASSERT_FALSE(Accepted);
  EXPECT_EQ(Accepted.error().kind(), ConfigurationErrc::VersionConflict);
  EXPECT_NE(Accepted.error().detail().find("operator-c"), std::string::npos);
  EXPECT_EQ(Store_.current().value()->ChangeId_, "c");
}

TEST_F(ConfigurationStoreTest, RecognisesARepeatAfterOtherChanges) {
  EXPECT_EQ(Store_.accept(change("a", First)).value(), 1U);
  EXPECT_EQ(Store_.accept(change("b", Second)).value(), 2U);
  EXPECT_EQ(Store_.accept(change("a", First)).value(), 1U);
  EXPECT_EQ(Store_.current().value()->Document_, Second);
  EXPECT_EQ(rowsIn(tables::Audit), 2U);
}

/// Injects each kind of fault into one to four successive table calls,
/// starting at each call that accept() makes, and repeats the change as the
/// command line does. Guards against a change that is applied twice, and
/// against reporting "nothing was changed" after the change was accepted.
TEST_F(ConfigurationStoreTest, AcceptsOnceUnderEveryFaultAtEveryStep) {
  using Fault = FaultInjectingTable::Fault;
  constexpr int MaxCalls = 12;
  int Cases = 0;
  for (Fault Kind :
       {Fault::Unavailable, Fault::LostBeforeWrite, Fault::LostAfterWrite}) {
    for (int FirstCall = 0; FirstCall < MaxCalls; ++FirstCall) {
      for (int Length = 1; Length <= 4; ++Length) {
        EmbeddedPlatform Platform;
        FaultInjectingTable Table(Platform);
        ConfigurationStore Store(Table, Parser_, Clock_);
        Store.accept(change("base", First));
        Table.injectFault(Kind, FirstCall, Length);
        ConfigurationChange Wanted = change("x", Second);
        Wanted.Expected_ = 1;
        auto Accepted = Store.accept(Wanted);
        bool ReportedUnchanged =
            !Accepted && Accepted.error().kind() == PlatformErrc::Unavailable;
        auto Stored = ConfigurationStore(Platform, Parser_, Clock_).current();
        if (ReportedUnchanged)
          EXPECT_EQ(Stored.value()->Version_, 1U);
        if (Accepted)
          EXPECT_EQ(Stored.value()->ChangeId_, "x");
        Table.injectFault(Kind, 0, 0);
        EXPECT_EQ(Store.accept(Wanted).value(), 2U);
        EXPECT_EQ(Store.accept(Wanted).value(), 2U);
        EXPECT_EQ(Platform.readChanges(tables::Audit, 0).value().Rows_.size(),
                  2U);
        ++Cases;
      }
    }
  }
  std::cout << "cases: " << Cases << "\n";
}

} // namespace
} // namespace dragonflylock
