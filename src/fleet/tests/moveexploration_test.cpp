#include "configuration/fleetconfiguration.h"
#include "fleet/fleetcodec.h"
#include "fleet/fleettransitions.h"
#include "fleet/fleettypes.h"
#include "fleet/instancerowcodec.h"
#include "fleet/quiescencetracker.h"
#include "platformservices/tablenames.h"

#include <gtest/gtest.h>

#include <array>
#include <iostream>
#include <optional>
#include <sstream>
#include <unordered_map>

namespace dragonflylock {
namespace {

using std::chrono::seconds;

constexpr const char *Instance = "w0";
constexpr seconds Tick{7};
constexpr seconds Deadline{5};
constexpr std::uint64_t MaxEpoch = 5;

/// The state of an entry instance with regard to one instance.
struct ModelEntry {
  std::string Name_;
  bool IsOwnZone_ = false;
  InstanceRow View_;
  TimePoint ReadStartedAt_;
  /// The row of a read that was served but whose response has not arrived.
  std::optional<InstanceRow> PendingRead_;
  TimePoint PendingReadStartedAt_;
  /// The pool of the offer in flight; empty if there is none.
  std::string InFlightPool_;
  TimePoint OfferedAt_;

  bool hasLease(TimePoint Now) const {
    return IsOwnZone_ || Now < ReadStartedAt_ + ViewLease;
  }
};

struct ModelController {
  FleetView View_;
  QuiescenceTracker Tracker_;
  /// The epoch that the tracker has seen last and when it first saw it,
  /// recorded here to compare states.
  std::uint64_t SeenEpoch_ = 0;
  TimePoint SeenAt_;
};

struct ModelState {
  FleetView Table_;
  RowVersion NextVersion_ = 100;
  TimePoint Now_ = TimePoint(seconds(1000));
  std::array<ModelEntry, 2> Entries_;
  std::array<ModelController, 2> Controllers_;
};

/// Explores all interleavings of two controllers and two entry instances, one
/// in the instance's zone and one in another. A participant that takes no step
/// while others do models one that is frozen or partitioned. A controller that
/// continues from its next read after a write models one that lost the response
/// to the write.
class MoveExploration {
public:
  /// The safety mechanisms. Tests disable each to show that it is needed.
  struct Mechanisms {
    bool WaitsForQuiescence_ = true;
    bool EnforcesLeases_ = true;
  };

  explicit MoveExploration(Mechanisms Enabled) : Enabled_(Enabled) {}

  void explore(int Depth) { explore(initialState(), Depth); }
  std::size_t states() const { return Seen_.size(); }
  std::size_t violations() const { return Violations_; }
  std::size_t moves() const { return Moves_; }

private:
  static ModelState initialState() {
    ModelState State;
    InstanceRow Row;
    Row.Pool_ = "rota";
    Row.Epoch_ = 1;
    State.Table_.Instances_[Instance] = {Row, 1};
    PoolRow Rota;
    for (int Index = 0; Index < 8; ++Index) {
      std::string Id = "w" + std::to_string(Index);
      Rota.Members_.insert(Id);
      State.Table_.ListedInstances_[Id] = {Id, {"127.0.0.1", 1},    "a",
                                           Id, InstanceState::Live, 1};
    }
    State.Table_.Pools_["rota"] = {Rota, 2};
    State.Table_.Pools_["mending"] = {Rota, 3};
    State.Table_.Entries_["near"] = {"a", "1"};
    State.Table_.Entries_["far"] = {"b", "1"};
    State.Entries_[0].Name_ = "near";
    State.Entries_[0].IsOwnZone_ = true;
    State.Entries_[1].Name_ = "far";
    for (ModelEntry &Each : State.Entries_) {
      Each.View_ = Row;
      Each.ReadStartedAt_ = State.Now_;
    }
    for (ModelController &Each : State.Controllers_)
      Each.View_ = State.Table_;
    return State;
  }

  void explore(const ModelState &State, int Remaining) {
    int &Explored = Seen_.emplace(stateKey(State), -1).first->second;
    if (Explored >= Remaining)
      return;
    Explored = Remaining;
    if (Remaining == 0)
      return;
    for (std::size_t Index = 0; Index < 2; ++Index) {
      stepController(State, Index, Remaining - 1);
      stepEntry(State, Index, Remaining - 1);
    }
    ModelState Later = State;
    Later.Now_ += Tick;
    for (ModelEntry &Each : Later.Entries_) {
      if (!Each.InFlightPool_.empty() &&
          Later.Now_ >= Each.OfferedAt_ + Deadline)
        Each.InFlightPool_.clear();
    }
    explore(Later, Remaining - 1);
  }

  void stepController(const ModelState &State, std::size_t Index,
                      int Remaining) {
    ModelState Next = State;
    ModelController &Mine = Next.Controllers_[Index];
    Mine.View_ = Next.Table_;
    bool IsLeaving = Mine.View_.Instances_.at(Instance).Value_.Phase_ ==
                     InstancePhase::Leaving;
    bool IsQuiet = IsLeaving && Mine.Tracker_.isQuiescent(Mine.View_, Instance,
                                                          Deadline, Next.Now_);
    if (IsLeaving)
      recordFirstSeen(Next, Index);
    explore(Next, Remaining);
    if (!IsLeaving)
      beginMove(Next, Index, Remaining);
    else if (IsQuiet || !Enabled_.WaitsForQuiescence_)
      finishMove(Next, Index, Remaining);
    // Also tries a write based on the view before this step, if it is outdated.
    if (State.Controllers_[Index].View_.Instances_.at(Instance).Version_ !=
        Next.Table_.Instances_.at(Instance).Version_)
      beginMove(State, Index, Remaining);
  }

  static void recordFirstSeen(ModelState &State, std::size_t Index) {
    ModelController &Mine = State.Controllers_[Index];
    std::uint64_t Epoch = Mine.View_.Instances_.at(Instance).Value_.Epoch_;
    if (Mine.SeenEpoch_ == Epoch)
      return;
    Mine.SeenEpoch_ = Epoch;
    Mine.SeenAt_ = State.Now_;
  }

  void beginMove(const ModelState &State, std::size_t Index, int Remaining) {
    const FleetView &View = State.Controllers_[Index].View_;
    if (View.Instances_.at(Instance).Value_.Epoch_ >= MaxEpoch)
      return;
    PoolSettings Settings;
    std::string Target = View.Instances_.at(Instance).Value_.Pool_ == "rota"
                             ? "mending"
                             : "rota";
    auto Change =
        FleetTransitions(View, 0).beginLeaving(Instance, Settings, Target, {});
    if (!Change)
      return;
    ModelState Next = State;
    if (apply(Next, Change.value().Writes_))
      explore(Next, Remaining);
  }

  void finishMove(const ModelState &State, std::size_t Index, int Remaining) {
    auto Change = FleetTransitions(State.Controllers_[Index].View_, 0)
                      .finishLeaving(Instance);
    if (!Change)
      return;
    ModelState Next = State;
    if (!apply(Next, Change.value().Writes_))
      return;
    ++Moves_;
    for (const ModelEntry &Each : Next.Entries_)
      Violations_ += Each.InFlightPool_.empty() ? 0 : 1;
    explore(Next, Remaining);
  }

  /// Applies the writes if all their conditions hold.
  /// \returns whether they were applied.
  static bool apply(ModelState &State, const std::vector<RowWrite> &Writes) {
    FleetView &Table = State.Table_;
    for (const RowWrite &Write : Writes) {
      RowVersion CurrentVersion =
          Write.Row_.Table_ == tables::Instances
              ? Table.Instances_[Write.Row_.Key_].Version_
              : Table.Pools_[Write.Row_.Key_].Version_;
      if (CurrentVersion != Write.Condition_.Version_)
        return false;
    }
    for (const RowWrite &Write : Writes) {
      RowVersion Version = ++State.NextVersion_;
      if (Write.Row_.Table_ == tables::Instances)
        Table.Instances_[Write.Row_.Key_] = {
            instancerowcodec::decode(*Write.Value_).value(), Version};
      else
        Table.Pools_[Write.Row_.Key_] = {
            fleetcodec::decodePool(*Write.Value_).value(), Version};
    }
    return true;
  }

  void stepEntry(const ModelState &State, std::size_t Index, int Remaining) {
    const ModelEntry &Seen = State.Entries_[Index];
    ModelState Next = State;
    ModelEntry &Mine = Next.Entries_[Index];
    if (Seen.PendingRead_) {
      if (Seen.PendingRead_->Epoch_ >= Seen.View_.Epoch_)
        Mine.View_ = *Seen.PendingRead_;
      Mine.ReadStartedAt_ = Seen.PendingReadStartedAt_;
      Mine.PendingRead_.reset();
    } else {
      Mine.PendingRead_ = Next.Table_.Instances_.at(Instance).Value_;
      Mine.PendingReadStartedAt_ = Next.Now_;
    }
    explore(Next, Remaining);
    bool IsUsable = Seen.hasLease(State.Now_) || !Enabled_.EnforcesLeases_;
    bool IsServing = Seen.View_.Phase_ == InstancePhase::Serving;
    if (IsUsable && IsServing && Seen.InFlightPool_.empty())
      offer(State, Index, Remaining);
    if (!Seen.InFlightPool_.empty()) {
      ModelState Ended = State;
      Ended.Entries_[Index].InFlightPool_.clear();
      explore(Ended, Remaining);
    }
    bool IsQuiet = Seen.View_.Phase_ == InstancePhase::Leaving &&
                   Seen.InFlightPool_.empty();
    std::uint64_t &AcknowledgedEpoch =
        Next.Table_.AcknowledgedEpochs_[Instance][Seen.Name_];
    if (IsQuiet && AcknowledgedEpoch < Seen.View_.Epoch_) {
      ModelState Acknowledged = State;
      Acknowledged.Table_.AcknowledgedEpochs_[Instance][Seen.Name_] =
          Seen.View_.Epoch_;
      explore(Acknowledged, Remaining);
    }
  }

  void offer(const ModelState &State, std::size_t Index, int Remaining) {
    ModelState Next = State;
    ModelEntry &Mine = Next.Entries_[Index];
    const InstanceRow &Current = Next.Table_.Instances_.at(Instance).Value_;
    const std::string &Other = Next.Entries_[1 - Index].InFlightPool_;
    bool IsOtherPool = !Other.empty() && Other != Mine.View_.Pool_;
    if (Current.Pool_ != Mine.View_.Pool_ || IsOtherPool)
      ++Violations_;
    Mine.InFlightPool_ = Mine.View_.Pool_;
    Mine.OfferedAt_ = Next.Now_;
    explore(Next, Remaining);
  }

  static std::string stateKey(const ModelState &State) {
    std::ostringstream Out;
    auto Age = [&](TimePoint Since) {
      return std::min<long>(6, (State.Now_ - Since) / Tick);
    };
    auto Row = [&](const InstanceRow &Value) {
      Out << Value.Epoch_ << Value.Pool_[0] << static_cast<int>(Value.Phase_);
    };
    Row(State.Table_.Instances_.at(Instance).Value_);
    auto Known = State.Table_.AcknowledgedEpochs_.find(Instance);
    if (Known != State.Table_.AcknowledgedEpochs_.end())
      for (const auto &[Name, Epoch] : Known->second)
        Out << Name[0] << Epoch;
    for (const ModelEntry &Each : State.Entries_) {
      Out << '|';
      Row(Each.View_);
      Out << Age(Each.ReadStartedAt_);
      if (Each.PendingRead_) {
        Row(*Each.PendingRead_);
        Out << Age(Each.PendingReadStartedAt_);
      }
      if (!Each.InFlightPool_.empty())
        Out << Each.InFlightPool_[0] << Age(Each.OfferedAt_);
    }
    for (const ModelController &Each : State.Controllers_) {
      Out << '#';
      Row(Each.View_.Instances_.at(Instance).Value_);
      Out << '@' << Each.SeenEpoch_ << Age(Each.SeenAt_);
    }
    return Out.str();
  }

  Mechanisms Enabled_;
  /// The largest number of remaining steps with which each state has been
  /// explored, by state key.
  std::unordered_map<std::string, int> Seen_;
  std::size_t Violations_ = 0;
  std::size_t Moves_ = 0;
};

TEST(MoveExploration, NoInstanceServesTwoPoolsUnderAnyInterleaving) {
  constexpr int Depth = 11;
  MoveExploration Exploration({});
  Exploration.explore(Depth);
  std::cout << "states seen: " << Exploration.states()
            << ", moves: " << Exploration.moves() << "\n";
  EXPECT_EQ(Exploration.violations(), 0U);
  EXPECT_GT(Exploration.moves(), 100U);
}

TEST(MoveExploration, FindsViolationsWithoutWaitingForQuiescence) {
  constexpr int Depth = 6;
  MoveExploration Exploration({false, true});
  Exploration.explore(Depth);
  EXPECT_GT(Exploration.violations(), 0U);
}

TEST(MoveExploration, FindsViolationsWithoutViewLeases) {
  constexpr int Depth = 11;
  MoveExploration Exploration({true, false});
  Exploration.explore(Depth);
  EXPECT_GT(Exploration.violations(), 0U);
}

} // namespace
} // namespace dragonflylock
