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
constexpr std::uint64_t HighestEpoch = 5;

/// An entry instance as far as it acts on one instance.
struct ModelEntry {
  std::string Name_;
  bool IsOwnZone_ = false;
  InstanceRow View_;
  TimePoint ReadStartedAt_;
  /// A read that was served and whose answer is still on its way.
  std::optional<InstanceRow> Arriving_;
  TimePoint ArrivingStartedAt_;
  /// The pool of an offer that has not ended.
  std::string InFlight_;
  TimePoint OfferedAt_;

  bool hasLease(TimePoint Now) const {
    return IsOwnZone_ || Now < ReadStartedAt_ + ViewLease;
  }
};

struct ModelController {
  FleetView View_;
  QuiescenceTracker Tracker_;
  /// For the comparison of states: the tracker's epoch, and when it was first
  /// seen.
  std::uint64_t SeenEpoch_ = 0;
  TimePoint SeenAt_;
};

struct World {
  FleetView Table_;
  RowVersion NextVersion_ = 100;
  TimePoint Now_ = TimePoint(seconds(1000));
  std::array<ModelEntry, 2> Entries_;
  std::array<ModelController, 2> Controllers_;
};

/// Explores all interleavings of two controllers and two entry instances, one
/// in the instance's zone and one in another. A participant that takes no step
/// while others do is frozen or cut off; a write whose answer is lost is one
/// whose controller goes on from its next read.
class MoveExploration {
public:
  /// The mechanisms that can be switched off, to see that they are needed.
  struct Mechanisms {
    bool WaitsForQuiescence_ = true;
    bool KeepsLeases_ = true;
  };

  explicit MoveExploration(Mechanisms Used) : Used_(Used) {}

  void explore(int Depth) { explore(start(), Depth); }
  std::size_t states() const { return Seen_.size(); }
  std::size_t violations() const { return Violations_; }
  std::size_t moves() const { return Moves_; }

private:
  static World start() {
    World Model;
    InstanceRow Row;
    Row.Pool_ = "rota";
    Row.Epoch_ = 1;
    Model.Table_.Instances_[Instance] = {Row, 1};
    PoolRow Rota;
    for (int Index = 0; Index < 8; ++Index) {
      std::string Id = "w" + std::to_string(Index);
      Rota.Members_.insert(Id);
      Model.Table_.Listed_[Id] = {Id, {"127.0.0.1", 1},    "a",
                                  Id, InstanceState::Live, 1};
    }
    Model.Table_.Pools_["rota"] = {Rota, 2};
    Model.Table_.Pools_["mending"] = {Rota, 3};
    Model.Table_.Entries_["near"] = {"a", "1"};
    Model.Table_.Entries_["far"] = {"b", "1"};
    Model.Entries_[0].Name_ = "near";
    Model.Entries_[0].IsOwnZone_ = true;
    Model.Entries_[1].Name_ = "far";
    for (ModelEntry &Each : Model.Entries_) {
      Each.View_ = Row;
      Each.ReadStartedAt_ = Model.Now_;
    }
    for (ModelController &Each : Model.Controllers_)
      Each.View_ = Model.Table_;
    return Model;
  }

  void explore(const World &Model, int Left) {
    int &Explored = Seen_.emplace(signature(Model), -1).first->second;
    if (Explored >= Left)
      return;
    Explored = Left;
    if (Left == 0)
      return;
    for (std::size_t Index = 0; Index < 2; ++Index) {
      stepController(Model, Index, Left - 1);
      stepEntry(Model, Index, Left - 1);
    }
    World Later = Model;
    Later.Now_ += Tick;
    for (ModelEntry &Each : Later.Entries_) {
      if (!Each.InFlight_.empty() && Later.Now_ >= Each.OfferedAt_ + Deadline)
        Each.InFlight_.clear();
    }
    explore(Later, Left - 1);
  }

  void stepController(const World &Model, std::size_t Index, int Left) {
    World Copy = Model;
    ModelController &Mine = Copy.Controllers_[Index];
    Mine.View_ = Copy.Table_;
    bool IsLeaving = Mine.View_.Instances_.at(Instance).Value_.Phase_ ==
                     InstancePhase::Leaving;
    bool IsQuiet = IsLeaving && Mine.Tracker_.isQuiet(Mine.View_, Instance,
                                                      Deadline, Copy.Now_);
    if (IsLeaving)
      noteSeen(Copy, Index);
    explore(Copy, Left);
    if (!IsLeaving)
      begin(Copy, Index, Left);
    else if (IsQuiet || !Used_.WaitsForQuiescence_)
      finish(Copy, Index, Left);
    // A write that was prepared from the view as it was before.
    if (Model.Controllers_[Index].View_.Instances_.at(Instance).Version_ !=
        Copy.Table_.Instances_.at(Instance).Version_)
      begin(Model, Index, Left);
  }

  static void noteSeen(World &Model, std::size_t Index) {
    ModelController &Mine = Model.Controllers_[Index];
    std::uint64_t Epoch = Mine.View_.Instances_.at(Instance).Value_.Epoch_;
    if (Mine.SeenEpoch_ == Epoch)
      return;
    Mine.SeenEpoch_ = Epoch;
    Mine.SeenAt_ = Model.Now_;
  }

  void begin(const World &Model, std::size_t Index, int Left) {
    const FleetView &View = Model.Controllers_[Index].View_;
    if (View.Instances_.at(Instance).Value_.Epoch_ >= HighestEpoch)
      return;
    PoolSettings Settings;
    std::string Target = View.Instances_.at(Instance).Value_.Pool_ == "rota"
                             ? "mending"
                             : "rota";
    auto Change =
        FleetTransitions(View, 0).beginLeaving(Instance, Settings, Target, {});
    if (!Change)
      return;
    World Copy = Model;
    if (apply(Copy, Change.value().Writes_))
      explore(Copy, Left);
  }

  void finish(const World &Model, std::size_t Index, int Left) {
    auto Change = FleetTransitions(Model.Controllers_[Index].View_, 0)
                      .finishLeaving(Instance);
    if (!Change)
      return;
    World Copy = Model;
    if (!apply(Copy, Change.value().Writes_))
      return;
    ++Moves_;
    for (const ModelEntry &Each : Copy.Entries_)
      Violations_ += Each.InFlight_.empty() ? 0 : 1;
    explore(Copy, Left);
  }

  /// \returns whether all conditions held.
  static bool apply(World &Model, const std::vector<RowWrite> &Writes) {
    FleetView &Table = Model.Table_;
    for (const RowWrite &Write : Writes) {
      RowVersion Held = Write.Row_.Table_ == tables::Instances
                            ? Table.Instances_[Write.Row_.Key_].Version_
                            : Table.Pools_[Write.Row_.Key_].Version_;
      if (Held != Write.Condition_.Version_)
        return false;
    }
    for (const RowWrite &Write : Writes) {
      RowVersion Version = ++Model.NextVersion_;
      if (Write.Row_.Table_ == tables::Instances)
        Table.Instances_[Write.Row_.Key_] = {
            instancerowcodec::decode(*Write.Value_).value(), Version};
      else
        Table.Pools_[Write.Row_.Key_] = {
            fleetcodec::decodePool(*Write.Value_).value(), Version};
    }
    return true;
  }

  void stepEntry(const World &Model, std::size_t Index, int Left) {
    const ModelEntry &Seen = Model.Entries_[Index];
    World Copy = Model;
    ModelEntry &Mine = Copy.Entries_[Index];
    if (Seen.Arriving_) {
      if (Seen.Arriving_->Epoch_ >= Seen.View_.Epoch_)
        Mine.View_ = *Seen.Arriving_;
      Mine.ReadStartedAt_ = Seen.ArrivingStartedAt_;
      Mine.Arriving_.reset();
    } else {
      Mine.Arriving_ = Copy.Table_.Instances_.at(Instance).Value_;
      Mine.ArrivingStartedAt_ = Copy.Now_;
    }
    explore(Copy, Left);
    bool IsUsable = Seen.hasLease(Model.Now_) || !Used_.KeepsLeases_;
    bool IsServing = Seen.View_.Phase_ == InstancePhase::Serving;
    if (IsUsable && IsServing && Seen.InFlight_.empty())
      offer(Model, Index, Left);
    if (!Seen.InFlight_.empty()) {
      World Ended = Model;
      Ended.Entries_[Index].InFlight_.clear();
      explore(Ended, Left);
    }
    bool IsQuiet =
        Seen.View_.Phase_ == InstancePhase::Leaving && Seen.InFlight_.empty();
    std::uint64_t &Known = Copy.Table_.Acknowledged_[Instance][Seen.Name_];
    if (IsQuiet && Known < Seen.View_.Epoch_) {
      World Acknowledged = Model;
      Acknowledged.Table_.Acknowledged_[Instance][Seen.Name_] =
          Seen.View_.Epoch_;
      explore(Acknowledged, Left);
    }
  }

  void offer(const World &Model, std::size_t Index, int Left) {
    World Copy = Model;
    ModelEntry &Mine = Copy.Entries_[Index];
    const InstanceRow &Truth = Copy.Table_.Instances_.at(Instance).Value_;
    const std::string &Other = Copy.Entries_[1 - Index].InFlight_;
    bool IsOtherPool = !Other.empty() && Other != Mine.View_.Pool_;
    if (Truth.Pool_ != Mine.View_.Pool_ || IsOtherPool)
      ++Violations_;
    Mine.InFlight_ = Mine.View_.Pool_;
    Mine.OfferedAt_ = Copy.Now_;
    explore(Copy, Left);
  }

  static std::string signature(const World &Model) {
    std::ostringstream Out;
    auto Age = [&](TimePoint Since) {
      return std::min<long>(6, (Model.Now_ - Since) / Tick);
    };
    auto Row = [&](const InstanceRow &Value) {
      Out << Value.Epoch_ << Value.Pool_[0] << static_cast<int>(Value.Phase_);
    };
    Row(Model.Table_.Instances_.at(Instance).Value_);
    auto Known = Model.Table_.Acknowledged_.find(Instance);
    if (Known != Model.Table_.Acknowledged_.end())
      for (const auto &[Name, Epoch] : Known->second)
        Out << Name[0] << Epoch;
    for (const ModelEntry &Each : Model.Entries_) {
      Out << '|';
      Row(Each.View_);
      Out << Age(Each.ReadStartedAt_);
      if (Each.Arriving_) {
        Row(*Each.Arriving_);
        Out << Age(Each.ArrivingStartedAt_);
      }
      if (!Each.InFlight_.empty())
        Out << Each.InFlight_[0] << Age(Each.OfferedAt_);
    }
    for (const ModelController &Each : Model.Controllers_) {
      Out << '#';
      Row(Each.View_.Instances_.at(Instance).Value_);
      Out << '@' << Each.SeenEpoch_ << Age(Each.SeenAt_);
    }
    return Out.str();
  }

  Mechanisms Used_;
  /// The steps that were left when a state was explored.
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

TEST(MoveExploration, FindsViolationsWhereAMoveDoesNotWait) {
  constexpr int Depth = 6;
  MoveExploration Exploration({false, true});
  Exploration.explore(Depth);
  EXPECT_GT(Exploration.violations(), 0U);
}

TEST(MoveExploration, FindsViolationsWhereLeasesAreNotKept) {
  constexpr int Depth = 11;
  MoveExploration Exploration({true, false});
  Exploration.explore(Depth);
  EXPECT_GT(Exploration.violations(), 0U);
}

} // namespace
} // namespace dragonflylock
