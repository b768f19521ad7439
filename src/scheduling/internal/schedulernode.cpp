#include "scheduling/schedulernode.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/controlrows.h"
#include "scheduling/demandboard.h"
#include "scheduling/istore.h"
#include "scheduling/machineledger.h"
#include "scheduling/ownershipkeeper.h"
#include "scheduling/poolowner.h"
#include "scheduling/poolview.h"
#include "scheduling/tablefollower.h"

#include <map>
#include <set>

namespace dragonflylock {
namespace {

/// Least time between two reports of a pool's pending jobs.
constexpr std::chrono::milliseconds PendingInterval{400};
/// Pause between two answers about the control rows, in which changes gather.
constexpr std::chrono::milliseconds ControlPause{120};
/// A node that the store has not answered for this long sends callers to
/// others.
constexpr std::chrono::milliseconds SilentStore{2500};

} // namespace

struct SchedulerNode::Parts {
  explicit Parts(const Builder &Source);

  void onControlRows(const std::vector<StoreRow> &Rows, bool IsWhole);
  void onWon(const PoolTenure &Tenure);
  void onLost(const std::string &Pool);
  void giveWorkers();
  void reportPending();
  /// \returns whether the control rows are read as they are now.
  bool isViewCurrent() const {
    return Clock_.now() < Control_->lastAnswer() + SilentStore;
  }
  void tickOwnership();

  SchedulingSettings Settings_;
  const IClock &Clock_;
  IStore &Store_;
  ILogger &Logger_;
  MachineLedger Ledger_;
  DemandBoard Demands_;
  PoolOwner::Builder OwnerBuilder_;
  std::shared_ptr<const SchedulingConfiguration> Configuration_;
  std::map<std::string, WorkerEntry> Workers_;
  bool HaveWorkersChanged_ = false;
  /// Whether Workers_ holds the registry; it is not kept up without a pool.
  bool AreWorkersKnown_ = false;
  std::map<std::uint64_t, MaintenanceWave> Waves_;
  std::shared_ptr<JobRequestHandler> Desk_;
  std::shared_ptr<OwnershipKeeper> Ownership_;
  std::shared_ptr<TableFollower> Control_;
  std::map<std::string, std::unique_ptr<PoolOwner>> Owners_;
  /// By pool, as its owner reported it last.
  std::map<std::string, PendingRow> Pending_;
  std::map<std::string, PendingRow> Reported_;
  TimePoint NextPending_;
  bool IsReleased_ = false;
};

SchedulerNode::Parts::Parts(const Builder &Source)
    : Settings_(Source.Settings_), Clock_(*Source.Clock_),
      Store_(*Source.Store_), Logger_(*Source.Logger_),
      Ledger_(Settings_.Node_, Clock_) {
  OwnerBuilder_.settings(Settings_)
      .clock(Clock_)
      .store(Store_)
      .workers(*Source.Workers_)
      .machines(*Source.Machines_)
      .advisor(*Source.Advisor_)
      .ledger(Ledger_)
      .demands(Demands_)
      .logger(Logger_);
  Desk_ = std::make_shared<JobRequestHandler>(
      Store_, Clock_, Logger_,
      [this](const std::string &Job) -> std::optional<JobPhase> {
        for (const auto &[Pool, Owner] : Owners_)
          if (auto State = Owner->stateOf(Job))
            return State;
        return std::nullopt;
      });
  Ownership_ = std::make_shared<OwnershipKeeper>(
      Settings_, Source.Process_,
      Source.Leases_ != nullptr ? *Source.Leases_ : Store_, Clock_, Logger_,
      [this](const PoolTenure &Tenure) { onWon(Tenure); },
      [this](const std::string &Pool, TimePoint End) {
        auto Found = Owners_.find(Pool);
        if (Found != Owners_.end())
          Found->second->extendLease(End);
      },
      [this](const std::string &Pool) { onLost(Pool); });
  Control_ = std::make_shared<TableFollower>(
      Store_, Clock_, Logger_, controlrows::Table, "", ControlPause,
      [this](const std::vector<StoreRow> &Rows, bool IsWhole) {
        onControlRows(Rows, IsWhole);
      });
}

void SchedulerNode::Parts::onControlRows(const std::vector<StoreRow> &Rows,
                                         bool IsWhole) {
  const std::string OwnerPrefix = controlrows::OwnerPrefix;
  const std::string MachinePrefix = controlrows::MachinePrefix;
  const std::string NodePrefix = controlrows::NodePrefix;
  const std::string PendingPrefix = controlrows::PendingPrefix;
  const std::string DemandPrefix = controlrows::DemandPrefix;
  for (const StoreRow &Row : Rows) {
    const std::string &Key = Row.Name_.Key_;
    if (Row.IsRemoved_)
      continue;
    if (Key.starts_with(OwnerPrefix))
      Ownership_->onRow(Key.substr(OwnerPrefix.size()), Row);
    if (Key.starts_with(NodePrefix))
      if (auto Read = controlrows::decodeNode(Row.Value_))
        Ownership_->onNode(Key.substr(NodePrefix.size()), *Read);
    if (Key.starts_with(MachinePrefix))
      Ledger_.onRow(Key.substr(MachinePrefix.size()), Row);
    if (Key.starts_with(DemandPrefix))
      Demands_.onRow(Key.substr(DemandPrefix.size()), Row);
    if (!Key.starts_with(PendingPrefix))
      continue;
    if (auto Read = controlrows::decodePending(Row.Value_))
      Pending_[Key.substr(PendingPrefix.size())] = *Read;
  }
  if (IsWhole)
    Ownership_->setLoaded();
}

void SchedulerNode::Parts::onWon(const PoolTenure &Tenure) {
  auto Owner = OwnerBuilder_.build(Tenure);
  Owner->onConfiguration(Configuration_);
  std::vector<MaintenanceWave> Waves;
  for (const auto &[Number, Wave] : Waves_)
    Waves.push_back(Wave);
  Owner->onWaves(Waves);
  Owners_[Tenure.Pool_] = std::move(Owner);
  HaveWorkersChanged_ = true;
}

void SchedulerNode::Parts::onLost(const std::string &Pool) {
  Owners_.erase(Pool);
  Reported_.erase(Pool);
  if (Owners_.empty())
    AreWorkersKnown_ = false;
}

void SchedulerNode::Parts::giveWorkers() {
  HaveWorkersChanged_ = false;
  std::vector<WorkerEntry> All;
  for (const auto &[Id, Worker] : Workers_)
    All.push_back(Worker);
  for (auto &[Pool, Owner] : Owners_)
    Owner->onWorkers(All);
}

void SchedulerNode::Parts::reportPending() {
  if (Clock_.now() < NextPending_)
    return;
  NextPending_ = Clock_.now() + PendingInterval;
  for (auto &[Pool, Owner] : Owners_) {
    auto Pending = Owner->pendingJobs();
    if (!Pending)
      continue;
    PendingRow Row{Owner->token(), *Pending};
    if (Reported_.contains(Pool) && Reported_[Pool].Pending_ == Row.Pending_)
      continue;
    Reported_[Pool] = Row;
    StoreTransaction Wanted;
    Wanted.Puts_ = {{controlrows::pending(Pool), controlrows::encode(Row)}};
    Store_.transact(std::move(Wanted),
                    [this, Pool = Pool, Row](const StoreTransactionEnd &End) {
                      if (End.Outcome_ == StoreOutcome::Done)
                        Pending_[Pool] = Row;
                      else
                        Reported_.erase(Pool);
                    });
  }
}

void SchedulerNode::Parts::tickOwnership() {
  Ownership_->setCurrent(isViewCurrent());
  Ownership_->tick();
}

SchedulerNode::Builder &
SchedulerNode::Builder::settings(SchedulingSettings Value) {
  Settings_ = std::move(Value);
  return *this;
}

SchedulerNode::Builder &SchedulerNode::Builder::process(std::string Value) {
  Process_ = std::move(Value);
  return *this;
}

SchedulerNode::Builder &SchedulerNode::Builder::clock(const IClock &Value) {
  Clock_ = &Value;
  return *this;
}

SchedulerNode::Builder &SchedulerNode::Builder::store(IStore &Value) {
  Store_ = &Value;
  return *this;
}

SchedulerNode::Builder &SchedulerNode::Builder::leases(IStore &Value) {
  Leases_ = &Value;
  return *this;
}

SchedulerNode::Builder &SchedulerNode::Builder::workers(IWorkerControl &Value) {
  Workers_ = &Value;
  return *this;
}

SchedulerNode::Builder &
SchedulerNode::Builder::machines(IMachineControl &Value) {
  Machines_ = &Value;
  return *this;
}

SchedulerNode::Builder &SchedulerNode::Builder::advisor(IAdvisor &Value) {
  Advisor_ = &Value;
  return *this;
}

SchedulerNode::Builder &SchedulerNode::Builder::logger(ILogger &Value) {
  Logger_ = &Value;
  return *this;
}

std::unique_ptr<SchedulerNode> SchedulerNode::Builder::build() const {
  return std::unique_ptr<SchedulerNode>(
      new SchedulerNode(std::make_unique<Parts>(*this)));
}

SchedulerNode::SchedulerNode(std::unique_ptr<Parts> Built)
    : Parts_(std::move(Built)) {}

SchedulerNode::~SchedulerNode() = default;

void SchedulerNode::onConfiguration(SchedulingConfiguration Configuration) {
  const auto &InForce = Parts_->Configuration_;
  if (InForce && Configuration.Version_ <= InForce->Version_)
    return;
  Parts_->Logger_.write(
      LogLevel::Info,
      LogEvent("configuration.applied")
          .with("version", Configuration.Version_)
          .with("queues", std::uint64_t{Configuration.Queues_.size()}));
  Parts_->Configuration_ =
      std::make_shared<SchedulingConfiguration>(std::move(Configuration));
  std::vector<std::string> Pools;
  for (const SchedulingPool &Pool : Parts_->Configuration_->Pools_)
    Pools.push_back(Pool.Name_);
  Parts_->Ownership_->setPools(Pools);
  for (auto &[Pool, Owner] : Parts_->Owners_)
    Owner->onConfiguration(Parts_->Configuration_);
}

void SchedulerNode::onWorker(const WorkerEntry &Worker) {
  WorkerEntry &Known = Parts_->Workers_[Worker.Id_];
  if (Known == Worker)
    return;
  Known = Worker;
  Parts_->HaveWorkersChanged_ = true;
}

void SchedulerNode::onWorkerGone(const std::string &Id) {
  if (Parts_->Workers_.erase(Id) > 0)
    Parts_->HaveWorkersChanged_ = true;
}

void SchedulerNode::onAllWorkers(const std::vector<WorkerEntry> &Workers) {
  Parts_->AreWorkersKnown_ = true;
  Parts_->Workers_.clear();
  for (const WorkerEntry &Worker : Workers)
    Parts_->Workers_[Worker.Id_] = Worker;
  Parts_->HaveWorkersChanged_ = true;
}

void SchedulerNode::onWave(const MaintenanceWave &Wave) {
  Parts_->Waves_[Wave.Number_] = Wave;
  for (auto &[Pool, Owner] : Parts_->Owners_)
    Owner->onWaves({Wave});
}

void SchedulerNode::onSettings(const SchedulingSettings &Settings) {
  std::string Node = Parts_->Settings_.Node_;
  Parts_->Settings_ = Settings;
  Parts_->Settings_.Node_ = Node;
}

void SchedulerNode::tick() {
  Parts_->Control_->tick();
  Parts_->Desk_->tick();
  if (!Parts_->IsReleased_)
    Parts_->tickOwnership();
  if (Parts_->HaveWorkersChanged_ && Parts_->AreWorkersKnown_)
    Parts_->giveWorkers();
  for (auto &[Pool, Owner] : Parts_->Owners_)
    Owner->tick();
  Parts_->reportPending();
}

void SchedulerNode::release() {
  Parts_->IsReleased_ = true;
  Parts_->Ownership_->releaseAll();
}

const SchedulingConfiguration *SchedulerNode::configuration() const {
  return Parts_->Configuration_.get();
}

bool SchedulerNode::isReady() const {
  return Parts_->Configuration_ && !Parts_->IsReleased_ &&
         Parts_->Control_->isLoaded() && Parts_->isViewCurrent();
}

bool SchedulerNode::needsWorkers() const { return !Parts_->Owners_.empty(); }

std::vector<PoolView> SchedulerNode::pools() const {
  std::vector<PoolView> Views;
  for (const auto &[Pool, Owner] : Parts_->Owners_)
    Views.push_back(Owner->view());
  return Views;
}

JobRequestHandler &SchedulerNode::desk() { return *Parts_->Desk_; }

std::optional<std::uint64_t>
SchedulerNode::pending(const std::string &Queue) const {
  const QueueSetting *Known =
      Parts_->Configuration_ ? Parts_->Configuration_->queue(Queue) : nullptr;
  if (Known == nullptr || !Parts_->Control_->isLoaded())
    return std::nullopt;
  std::uint64_t Sum = 0;
  bool HasReport = false;
  for (const auto &[Pool, Row] : Parts_->Pending_) {
    // A count of an owner that is gone says nothing of now.
    if (Parts_->Ownership_->liveToken(Pool) != Row.Token_)
      continue;
    HasReport = HasReport || Pool == Known->Pool_;
    auto Found = Row.Pending_.find(Queue);
    if (Found != Row.Pending_.end())
      Sum += Found->second;
  }
  return HasReport ? std::optional(Sum) : std::nullopt;
}

} // namespace dragonflylock
