#include "scheduling/internal/movekeeper.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/imachinecontrol.h"
#include "scheduling/internal/dispatcher.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/istore.h"
#include "scheduling/machineledger.h"

#include <algorithm>

namespace dragonflylock {
namespace {

constexpr std::chrono::milliseconds LookInterval{200};
/// Time in which waiting work is to be done; a machine that would be needed
/// for less does not repay its move.
constexpr std::int64_t WorkHorizon = 4000;
/// Machines that are taken in one round at most.
constexpr std::uint32_t MostAtOnce = 3;
/// How long a worker must have been idle before its machine is given back. Two
/// moves cost as much as a little over two seconds of a machine in a pool.
constexpr std::chrono::milliseconds IdleTime{4000};
/// Machines that stay in the pool though they are idle, for the next job.
constexpr std::size_t IdleReserve = 1;
/// Allowance for a moved machine to register its worker.
constexpr std::chrono::milliseconds ArrivalSlack{1500};

} // namespace

std::uint32_t machinesWanted(const PoolDemand &Demand) {
  if (Demand.MachineCpu_ <= 0)
    return 0;
  std::int64_t PerMachine = Demand.MachineCpu_ * WorkHorizon / 1000;
  std::int64_t ForWork = Demand.WaitingWork_ / PerMachine;
  auto Needed = std::max<std::int64_t>(ForWork, Demand.WaitingLasting_);
  Needed -= Demand.Arriving_;
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Needed, 0, MostAtOnce));
}

void MoveKeeper::setWaveCheck(
    std::function<bool(const std::string &)> IsInWave) {
  IsInWave_ = std::move(IsInWave);
}

std::string MoveKeeper::sparePool() const {
  if (!Pool_.Configuration_)
    return {};
  for (const SchedulingPool &Each : Pool_.Configuration_->Pools_)
    if (Each.IsSpare_)
      return Each.Name_;
  return {};
}

void MoveKeeper::tick() {
  const TimePoint Now = Pool_.Clock_.now();
  if (Now < NextLook_ || IsListing_ || !Pool_.mayAct())
    return;
  NextLook_ = Now + LookInterval;
  std::string Spare = sparePool();
  if (Spare.empty() || Spare == Pool_.Pool_)
    return;
  noteIdleWorkers();
  bool WantsMore = machinesWanted(demand()) > 0;
  bool HasIdle =
      std::any_of(IdleSince_.begin(), IdleSince_.end(), [&](const auto &Each) {
        return Now >= Each.second + IdleTime;
      });
  if (WantsMore)
    LastShortage_ = Now;
  if (WantsMore || HasIdle)
    listMachines();
}

PoolDemand MoveKeeper::demand() {
  const TimePoint Now = Pool_.Clock_.now();
  PoolDemand Demand;
  for (const auto &[Lifetime, Session] : Pool_.Sessions_) {
    Demand.MachineCpu_ =
        std::max(Demand.MachineCpu_, Session->entry().Capacity_.CpuMillis_);
    if (Session->IsListed_)
      Arriving_.erase(Session->entry().Machine_);
  }
  for (const auto &[Name, Each] : Known_)
    Demand.MachineCpu_ =
        std::max(Demand.MachineCpu_, Each.Capacity_.CpuMillis_);
  std::erase_if(Arriving_, [&](const auto &Each) {
    return Now >= Each.second + Pool_.Settings_.MoveTime_ + ArrivalSlack;
  });
  Demand.Arriving_ = static_cast<std::uint32_t>(Arriving_.size());
  for (auto &[Id, Job] : Pool_.Jobs_) {
    std::uint32_t Lasting = 0;
    for (const TaskName &Name : Job->startable(Now, Pool_.wallTime())) {
      const StepSpec &Step = Job->step(Name);
      if (Step.IsLongRunning_)
        ++Lasting;
      else
        Demand.WaitingWork_ +=
            Step.PerTask_.CpuMillis_ * Step.Estimate_.count() / 1000;
    }
    Demand.WaitingLasting_ = std::max(Demand.WaitingLasting_, Lasting);
  }
  return Demand;
}

void MoveKeeper::noteIdleWorkers() {
  std::map<std::string, TimePoint> Idle;
  for (const auto &[Lifetime, Session] : Pool_.Sessions_) {
    bool IsIdle = Session->IsListed_ && Session->IsFenced_ &&
                  Session->runs().empty() && !Session->hasUnsettledEnds() &&
                  !Session->IsReserved_ &&
                  Session->entry().State_ == WorkerState::Ready;
    if (!IsIdle)
      continue;
    auto Known = IdleSince_.find(Lifetime);
    Idle[Lifetime] =
        Known != IdleSince_.end() ? Known->second : Pool_.Clock_.now();
  }
  IdleSince_ = std::move(Idle);
}

void MoveKeeper::listMachines() {
  IsListing_ = true;
  Machines_.list([Weak = weak_from_this()](const MachineList &Read) {
    if (auto Self = Weak.lock())
      Self->onListed(Read);
  });
}

void MoveKeeper::onListed(const MachineList &Read) {
  IsListing_ = false;
  if (!Read.IsValid_)
    return;
  Known_.clear();
  for (const Machine &Each : Read.Machines_)
    Known_[Each.Name_] = Each;
  // What the list shows as arrived no longer counts as on its way.
  std::erase_if(Arriving_, [this](const auto &Each) {
    const Machine &Seen = Known_[Each.first];
    return Seen.Pool_ == Pool_.Pool_ && Seen.State_ == MachineState::Up;
  });
  takeMachines();
  if (Pool_.Clock_.now() >= LastShortage_ + IdleTime)
    returnMachines();
}

bool MoveKeeper::mayMove(const std::string &Name) const {
  return !Busy_.contains(Name) && !(IsInWave_ && IsInWave_(Name)) &&
         Ledger_.mayOrder(Name, Pool_.Settings_.OwnerLease_);
}

void MoveKeeper::takeMachines() {
  std::uint32_t Wanted = machinesWanted(demand());
  std::string Spare = sparePool();
  for (const auto &[Name, Each] : Known_) {
    if (Wanted == 0)
      return;
    if (Each.Pool_ != Spare || Each.State_ != MachineState::Up ||
        !mayMove(Name))
      continue;
    --Wanted;
    Arriving_[Name] = Pool_.Clock_.now();
    announce(Name, Pool_.Pool_, "");
  }
}

void MoveKeeper::returnMachines() {
  const TimePoint Now = Pool_.Clock_.now();
  std::size_t Idle = IdleSince_.size();
  std::map<std::string, std::string> MachineOfWorker;
  for (const auto &[Name, Each] : Known_)
    if (Each.Pool_ == Pool_.Pool_ && Each.State_ == MachineState::Up)
      MachineOfWorker[Each.Worker_] = Name;
  for (const auto &[Lifetime, Since] : IdleSince_) {
    if (Idle <= IdleReserve)
      return;
    WorkerSession *Session = Pool_.session(Lifetime);
    if (Session == nullptr || Now < Since + IdleTime ||
        !Session->runs().empty())
      continue;
    auto Found = MachineOfWorker.find(Session->entry().Id_);
    if (Found == MachineOfWorker.end() || !mayMove(Found->second))
      continue;
    --Idle;
    Session->IsReserved_ = true;
    announce(Found->second, sparePool(), Lifetime);
  }
}

void MoveKeeper::announce(const std::string &Name, const std::string &Target,
                          const std::string &Lifetime) {
  Busy_.insert(Name);
  StoreTransaction Wanted;
  Ledger_.announce(Name, Wanted);
  Pool_.Store_.transact(
      std::move(Wanted), [Weak = weak_from_this(), Name, Target,
                          Lifetime](const StoreTransactionEnd &End) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        if (End.Outcome_ != StoreOutcome::Done) {
          Self->onOrdered(Name, Target, Lifetime, MachineOutcome::NotDone);
          return;
        }
        Self->Ledger_.onAnnounced(Name, End.Version_);
        Self->order(Name, Target, Lifetime, End.Version_);
      });
}

void MoveKeeper::order(const std::string &Name, const std::string &Target,
                       const std::string &Lifetime, FencingToken Token) {
  WorkerSession *Session = Pool_.session(Lifetime);
  bool HasRuns = Session != nullptr && !Session->runs().empty();
  if (!Pool_.mayAct() || HasRuns) {
    onOrdered(Name, Target, Lifetime, MachineOutcome::NotDone);
    return;
  }
  Machines_.move({Name, Pool_.Settings_.Node_, Token}, Target,
                 [Weak = weak_from_this(), Name, Target,
                  Lifetime](MachineOutcome Outcome) {
                   if (auto Self = Weak.lock())
                     Self->onOrdered(Name, Target, Lifetime, Outcome);
                 });
}

void MoveKeeper::onOrdered(const std::string &Name, const std::string &Target,
                           const std::string &Lifetime,
                           MachineOutcome Outcome) {
  Busy_.erase(Name);
  Pool_.Logger_.write(
      LogLevel::Info,
      LogEvent("machine.moved")
          .with("machine", Name)
          .with("pool", Target)
          .with("outcome", static_cast<std::uint64_t>(Outcome)));
  bool IsTaken = Target == Pool_.Pool_;
  WorkerSession *Session = Pool_.session(Lifetime);
  if (Outcome == MachineOutcome::Accepted) {
    if (Session != nullptr) {
      Session->IsListed_ = false;
      Starts_.abandon(*Session);
    }
    return;
  }
  // Where the outcome is unknown, the machine's worker tells what became of
  // it: it goes on answering, or its entry vanishes.
  if (Session != nullptr)
    Session->IsReserved_ = false;
  if (IsTaken && Outcome != MachineOutcome::Unknown)
    Arriving_.erase(Name);
}

} // namespace dragonflylock
