#ifndef DRAGONFLYLOCK_FLEET_TESTS_MOCKS_MODELFLEET_H
#define DRAGONFLYLOCK_FLEET_TESTS_MOCKS_MODELFLEET_H

#include "configuration/fleetconfiguration.h"
#include "fleet/fleetcodec.h"
#include "fleet/fleetcontroller.h"
#include "fleet/instancerowcodec.h"
#include "global/tests/mocks/manualclock.h"
#include "platformservices/internal/embeddedplatform.h"
#include "platformservices/platformerrors.h"
#include "platformservices/tablenames.h"
#include "trace/itracesink.h"
#include "trace/traceevent.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <utility>

namespace dragonflylock {

/// A fleet on an embedded platform with fault injection: a pool "rota" with
/// each instance in a rack of its own, an empty pool "mending", an entry
/// instance "near" in the zone of all instances and an entry instance "far" in
/// another zone.
class ModelFleet : public EmbeddedPlatform, public ITraceSink {
public:
  explicit ModelFleet(int Size)
      : Configuration_(makeConfiguration()), Controller_(*this, Clock_, *this) {
    for (int Index = 0; Index < Size; ++Index) {
      std::string Id = "w" + std::to_string(Index);
      setInstance(
          {Id, {"127.0.0.1", 1}, "a", "r" + Id, InstanceState::Live, 1});
      put(tables::Instances, Id, instancerowcodec::encode(rowOf("rota")));
    }
    put(tables::Entries, "near", fleetcodec::encode(EntryRow{"a", "1"}));
    put(tables::Entries, "far", fleetcodec::encode(EntryRow{"b", "1"}));
    LowestInService_ = static_cast<std::size_t>(Size);
  }

  Result<TableChanges> readChanges(const std::string &Table,
                                   TableRevision Since) override {
    if (IsTableDown_)
      return Error(PlatformErrc::Unavailable, "table is down (injected fault)",
                   "none");
    return EmbeddedPlatform::readChanges(Table, Since);
  }
  Result<std::vector<RowVersion>>
  transact(const std::vector<RowWrite> &Writes) override {
    if (auto Callback = std::exchange(BeforeNextTransaction_, nullptr))
      Callback();
    if (IsTableDown_)
      return Error(PlatformErrc::Unavailable, "table is down (injected fault)",
                   "none");
    auto Written = EmbeddedPlatform::transact(Writes);
    updateLowestInService();
    if (ResponseLostAfter_ >= 0 && ResponseLostAfter_-- == 0)
      return Error(PlatformErrc::AnswerLost, "response lost (injected fault)",
                   "none");
    return Written;
  }
  Result<void> perform(InstanceAction Act, const std::string &Id) override {
    if (Act == InstanceAction::Reboot && SuppressedReboots_.contains(Id))
      return {};
    return EmbeddedPlatform::perform(Act, Id);
  }
  void record(TraceEvent) override {}

  FleetController &controller() { return Controller_; }
  EmbeddedPlatform &platform() { return *this; }
  ManualClock &clock() { return Clock_; }
  ITraceSink &trace() { return *this; }
  const FleetConfiguration &configuration() const { return Configuration_; }

  void runRound() { Controller_.runRound(Configuration_); }
  void advance(std::chrono::milliseconds Step) { Clock_.advance(Step); }
  void beforeNextTransaction(std::function<void()> Callback) {
    BeforeNextTransaction_ = std::move(Callback);
  }
  void setTableDown(bool Value) { IsTableDown_ = Value; }
  void loseResponseAfter(int Transactions) {
    ResponseLostAfter_ = Transactions;
  }
  /// Makes instance \p Id accept reboots without performing them.
  void suppressReboots(const std::string &Id) { SuppressedReboots_.insert(Id); }
  /// Performs the reboots of all instances given to suppressReboots().
  void performSuppressedReboots() {
    for (const std::string &Id : std::exchange(SuppressedReboots_, {}))
      EmbeddedPlatform::perform(InstanceAction::Reboot, Id);
  }
  void fail(const std::string &Id) {
    removeInstance(Id);
    updateLowestInService();
  }

  InstanceRow row(const std::string &Id) {
    auto Row = read({tables::Instances, Id});
    return instancerowcodec::decode(Row.value()->Value_).value();
  }
  PoolRow pool(const std::string &Name) {
    auto Row = read({tables::Pools, Name});
    return fleetcodec::decodePool(Row.value()->Value_).value();
  }
  WaveRow wave() {
    auto Row = read({tables::Waves, tables::CurrentWave});
    return fleetcodec::decodeWave(Row.value()->Value_).value();
  }
  std::uint64_t generation(const std::string &Id) {
    for (const ListedInstance &Each : list().value().Instances_) {
      if (Each.Id_ == Id)
        return Each.Generation_;
    }
    return 0;
  }
  bool hasAuditContaining(const std::string &Word) {
    auto Rows = EmbeddedPlatform::readChanges(tables::Audit, 0).value().Rows_;
    return std::any_of(Rows.begin(), Rows.end(), [&](const TableRow &Row) {
      return Row.Value_.find(Word) != std::string::npos;
    });
  }
  /// Makes the entry instance \p Entry acknowledge the current epoch of \p Id.
  void acknowledge(const std::string &Id, const std::string &Entry) {
    put(tables::Acknowledgements, fleetcodec::acknowledgementKey(Id, Entry),
        std::to_string(row(Id).Epoch_));
  }

  /// Runs one controller round in which both entry instances acknowledge the
  /// epochs of leaving instances.
  void runWaveRound(FleetController *Other = nullptr) {
    for (const auto &[Id, Row] : Controller_.view().Instances_) {
      if (row(Id).Phase_ != InstancePhase::Leaving || IsTableDown_)
        continue;
      acknowledge(Id, "near");
      acknowledge(Id, "far");
    }
    runRound();
    if (Other != nullptr)
      Other->runRound(Configuration_);
    advance(std::chrono::seconds(20));
  }
  /// Runs rounds until the wave is in state \p End.
  /// \returns the number of rounds run.
  int runWave(WaveState End, FleetController *Other = nullptr) {
    constexpr int MaxRounds = 500;
    for (int Round = 0; Round < MaxRounds; ++Round) {
      if (wave().State_ == End)
        return Round;
      runWaveRound(Other);
    }
    ADD_FAILURE() << "the wave did not reach the expected state";
    return MaxRounds;
  }
  /// \returns the lowest number of in-service instances of "rota" seen so far.
  std::size_t lowestInService() const { return LowestInService_; }

private:
  static InstanceRow rowOf(const std::string &Pool) {
    InstanceRow Row;
    Row.Pool_ = Pool;
    Row.Epoch_ = 1;
    return Row;
  }
  static FleetConfiguration makeConfiguration() {
    FleetConfiguration::Builder Builder;
    Builder.pool("rota", PoolSettings(), false);
    Builder.pool("mending", PoolSettings(), false);
    return Builder.build();
  }
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value) {
    EmbeddedPlatform::transact({{{Table, Key}, RowCondition::any(), Value}});
  }
  void updateLowestInService() {
    std::size_t Count = 0;
    for (const ListedInstance &Each : list().value().Instances_) {
      InstanceRow Row = row(Each.Id_);
      bool IsServing =
          Row.Phase_ == InstancePhase::Serving && Row.Pool_ == "rota";
      Count += IsServing && Each.State_ == InstanceState::Live ? 1 : 0;
    }
    LowestInService_ = std::min(LowestInService_, Count);
  }

  ManualClock Clock_;
  FleetConfiguration Configuration_;
  bool IsTableDown_ = false;
  int ResponseLostAfter_ = -1;
  std::set<std::string> SuppressedReboots_;
  std::function<void()> BeforeNextTransaction_;
  std::size_t LowestInService_ = 0;
  FleetController Controller_;
};

} // namespace dragonflylock

#endif
