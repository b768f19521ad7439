#include "fleet/fleetcontroller.h"
#include "configuration/fleetconfiguration.h"
#include "fleet/fleetcodec.h"
#include "fleet/fleeterrors.h"
#include "fleet/waveplanner.h"
#include "global/digest.h"
#include "global/iclock.h"
#include "platformservices/iplatform.h"
#include "platformservices/platformerrors.h"
#include "platformservices/tablenames.h"
#include "steering/steeringcodec.h"
#include "trace/itracesink.h"
#include "trace/traceevent.h"

namespace dragonflylock {
namespace {

constexpr std::size_t IdBytes = 6;
constexpr const char *ControllerName = "dragonflylock";

std::string describe(const FleetChange &Change) {
  std::string Text = Change.Instance_ + " of pool " + Change.Row_.Pool_ +
                     " is " + nameOf(Change.Row_.Phase_);
  if (!Change.Row_.Target_.empty())
    Text += " for pool " + Change.Row_.Target_;
  return Text;
}

} // namespace

FleetController::FleetController(IPlatform &Platform, const IClock &Clock,
                                 ITraceSink &Trace)
    : Platform_(Platform), Clock_(Clock), Trace_(Trace), Reader_(Platform) {}

std::int64_t FleetController::nowMs() const {
  return millisecondsSinceEpoch(Clock_.wallNow());
}

RowWrite FleetController::audit(const std::string &Operator,
                                const std::string &Subject,
                                const std::string &Detail) const {
  AuditRecord Record{nowMs(), Operator, Subject, Detail, randomId(IdBytes)};
  return {{tables::Audit, steeringcodec::auditKey(Record)},
          RowCondition::absent(),
          steeringcodec::encode(Record)};
}

Result<void> FleetController::commit(const FleetChange &Change,
                                     const std::string &Operator) {
  std::vector<RowWrite> Writes = Change.Writes_;
  Writes.push_back(audit(Operator, "instance", describe(Change)));
  auto Written = Platform_.transact(Writes);
  if (!Written)
    return Written.error();
  TraceEvent Event;
  Event.Kind_ = TraceKind::InstanceRow;
  Event.Instance_ = Change.Instance_;
  Event.Pool_ = Change.Row_.Pool_;
  Event.Phase_ = nameOf(Change.Row_.Phase_);
  Event.Number_ = Change.Row_.Epoch_;
  Event.Required_ = Change.Required_;
  Trace_.record(std::move(Event));
  return {};
}

Result<void> FleetController::enrolAll() {
  std::set<std::string> Pools;
  for (const auto &[Id, Row] : view().Instances_)
    Pools.insert(Row.Value_.Pool_);
  bool IsChanged = false;
  for (const std::string &Pool : Pools) {
    auto Write = FleetTransitions(view(), nowMs()).enrol(Pool);
    if (!Write)
      continue;
    IsChanged = true;
    auto Written = Platform_.transact({*Write});
    if (!Written && Written.error().kind() != PlatformErrc::ConditionFailed)
      return Written.error();
  }
  return IsChanged ? refresh() : Result<void>();
}

Result<void> FleetController::runRound(const FleetConfiguration &Fleet) {
  if (auto Read = refresh(); !Read)
    return Read;
  if (auto Enrolled = enrolAll(); !Enrolled)
    return Enrolled;
  if (finishLeavingInstances(Fleet)) {
    if (auto Read = refresh(); !Read)
      return Read;
  }
  advanceWave(Fleet);
  return {};
}

bool FleetController::finishLeavingInstances(const FleetConfiguration &Fleet) {
  bool IsChanged = false;
  TimePoint Now = Clock_.now();
  for (const auto &[Instance, Row] : view().Instances_) {
    if (Row.Value_.Phase_ != InstancePhase::Leaving)
      continue;
    const PoolSettings *Settings = Fleet.findPool(Row.Value_.Pool_);
    auto Deadline =
        Settings != nullptr ? Settings->Deadline_ : Fleet.defaults().Deadline_;
    if (!Quiescence_.isQuiescent(view(), Instance, Deadline, Now))
      continue;
    auto Change = FleetTransitions(view(), nowMs()).finishLeaving(Instance);
    if (!Change)
      continue;
    commit(Change.value(), ControllerName);
    IsChanged = true;
  }
  return IsChanged;
}

void FleetController::advanceWave(const FleetConfiguration &Fleet) {
  WavePlan Plan = WavePlanner(Fleet).plan(view(), nowMs());
  for (const std::string &Instance : Plan.Reboots_) {
    std::uint64_t Epoch = view().Instances_.at(Instance).Value_.Epoch_;
    if (Rebooted_.contains({Instance, Epoch}))
      continue;
    if (Platform_.perform(InstanceAction::Reboot, Instance))
      Rebooted_.insert({Instance, Epoch});
  }
  for (const FleetChange &Change : Plan.Changes_)
    commit(Change, ControllerName);
  WaveRow Next = view().Wave_.Value_;
  if (Plan.HaltReason_) {
    Next.State_ = WaveState::Halted;
    Next.Reason_ = *Plan.HaltReason_;
    commitWave(Next, ControllerName);
  } else if (Plan.IsFinished_) {
    Next.State_ = WaveState::Done;
    commitWave(Next, ControllerName);
  }
}

Result<void> FleetController::beginMove(const FleetConfiguration &Fleet,
                                        const std::string &Instance,
                                        const std::string &Target,
                                        const std::string &Operator) {
  if (Fleet.findPool(Target) == nullptr)
    return Error(FleetErrc::UnknownPool, "no pool " + Target,
                 "see `dragonflylock pool list`");
  return beginLeaving(Fleet, Instance, Target, Operator);
}

Result<void> FleetController::beginMaintenance(const FleetConfiguration &Fleet,
                                               const std::string &Instance,
                                               const std::string &Operator) {
  return beginLeaving(Fleet, Instance, {}, Operator);
}

Result<void> FleetController::unregisterEntry(const std::string &Entry,
                                              const std::string &Operator) {
  auto Written = Platform_.transact(
      {{{tables::Entries, Entry}, RowCondition::any(), std::nullopt},
       audit(Operator, "entry", Entry + " is forgotten")});
  if (!Written)
    return Written.error();
  return {};
}

Result<void> FleetController::beginLeaving(const FleetConfiguration &Fleet,
                                           const std::string &Instance,
                                           const std::string &Target,
                                           const std::string &Operator) {
  if (auto Read = refresh(); !Read)
    return Read;
  if (auto Enrolled = enrolAll(); !Enrolled)
    return Enrolled;
  auto Row = view().Instances_.find(Instance);
  const PoolSettings *Settings = Row == view().Instances_.end()
                                     ? &Fleet.defaults()
                                     : Fleet.findPool(Row->second.Value_.Pool_);
  auto Change =
      FleetTransitions(view(), nowMs())
          .beginLeaving(Instance,
                        Settings != nullptr ? *Settings : Fleet.defaults(),
                        Target, {});
  if (!Change)
    return Change.error();
  return commit(Change.value(), Operator);
}

Result<std::string> FleetController::startWave(const std::string &Operator,
                                               const std::string &Reason) {
  if (auto Read = refresh(); !Read)
    return Read.error();
  if (view().Wave_.Value_.State_ != WaveState::Done)
    return Error(FleetErrc::WaveActive,
                 "wave " + view().Wave_.Value_.Id_ + " is " +
                     fleetcodec::nameOf(view().Wave_.Value_.State_),
                 "wait until it has ended, or resume it if it is halted");
  WaveRow Next{randomId(IdBytes), WaveState::Running, Operator, Reason,
               nowMs()};
  auto Started = commitWave(Next, Operator);
  if (!Started)
    return Started.error();
  return Next.Id_;
}

Result<void> FleetController::setWaveState(WaveState From, WaveState To,
                                           const std::string &Operator,
                                           const std::string &Reason) {
  if (auto Read = refresh(); !Read)
    return Read;
  WaveRow Next = view().Wave_.Value_;
  if (Next.Id_.empty() || Next.State_ != From)
    return Error(FleetErrc::NoSuchWave,
                 std::string("no wave is ") + fleetcodec::nameOf(From),
                 "see `dragonflylock maintenance status`");
  Next.State_ = To;
  Next.Reason_ = Reason;
  return commitWave(Next, Operator);
}

Result<void> FleetController::commitWave(const WaveRow &Next,
                                         const std::string &Operator) {
  RowVersion Version = view().Wave_.Version_;
  auto Condition =
      Version == 0 ? RowCondition::absent() : RowCondition::at(Version);
  auto Written = Platform_.transact(
      {{{tables::Waves, tables::CurrentWave},
        Condition,
        fleetcodec::encode(Next)},
       audit(Operator, "wave",
             Next.Id_ + " is " + fleetcodec::nameOf(Next.State_) + ": " +
                 Next.Reason_)});
  if (!Written)
    return Written.error();
  return {};
}

} // namespace dragonflylock
