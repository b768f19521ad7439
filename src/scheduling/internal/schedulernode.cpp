#include "scheduling/schedulernode.h"
#include "access/accesscontroller.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/controlrows.h"
#include "scheduling/demandtracker.h"
#include "scheduling/icustomerlimitsregistry.h"
#include "scheduling/internal/pendingreporter.h"
#include "scheduling/internal/pooladmission.h"
#include "scheduling/istore.h"
#include "scheduling/machineordertracker.h"
#include "scheduling/poolleasemanager.h"
#include "scheduling/poolowner.h"
#include "scheduling/poolview.h"
#include "scheduling/queuedirectory.h"
#include "scheduling/tablefollower.h"

#include <map>
#include <set>

namespace dragonflylock {
namespace {

/// Minimum interval between reports of the pools' pending jobs.
constexpr std::chrono::milliseconds PendingReportInterval{400};
/// Delay between reads of the control rows, so that several changes arrive in
/// one response.
constexpr std::chrono::milliseconds ControlReadDelay{120};
/// Time without a response from the store after which the node reports that it
/// is not ready, so that callers use other nodes.
constexpr std::chrono::milliseconds StoreSilenceTimeout{2500};

} // namespace

struct SchedulerNode::Parts {
  explicit Parts(const Builder &Source);

  void onControlRows(const std::vector<StoreRow> &Rows, bool IsSnapshot);
  void onQueueRow(const QueueRow &Row);
  void onPoolAcquired(const PoolOwnership &Ownership);
  void onPoolLost(const std::string &Pool);
  void distributeWorkers();
  void reportPending();
  /// Dispatches the pools in which the limits of customers admit more.
  void dispatchRaisedPools();
  void tickLimits();
  /// \returns whether the store has responded recently enough for the known
  /// control rows to count as current.
  bool isControlViewCurrent() const {
    return Clock_.now() < Control_->lastResponse() + StoreSilenceTimeout;
  }
  void tickOwnership();
  std::chrono::milliseconds configurationAge() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        Clock_.now() - ConfigurationAsOf_);
  }
  bool isConfigurationCurrent() const {
    return configurationAge() <= Settings_.ConfigurationDelay_;
  }
  /// Logs when the configuration in force becomes too old to be relied on, and
  /// when it no longer is.
  void watchConfigurationAge();

  SchedulingSettings Settings_;
  const IClock &Clock_;
  IStore &Store_;
  /// Null if customers have no limits.
  ICustomerLimitsRegistry *Limits_;
  ILogger &Logger_;
  MachineOrderTracker MachineOrders_;
  DemandTracker Demands_;
  QueueDirectory Queues_;
  PoolOwner::Builder OwnerBuilder_;
  std::shared_ptr<const SchedulingConfiguration> Configuration_;
  AccessController Access_;
  /// All configurations stored before this time have been read.
  TimePoint ConfigurationAsOf_;
  bool IsConfigurationOutdated_ = false;
  std::map<std::string, WorkerEntry> Workers_;
  bool HaveWorkersChanged_ = false;
  /// Whether Workers_ matches the registry.
  bool AreWorkersKnown_ = false;
  std::map<std::uint64_t, MaintenanceWave> Waves_;
  std::shared_ptr<JobRequestHandler> JobRequests_;
  std::shared_ptr<PoolLeaseManager> Ownership_;
  std::shared_ptr<TableFollower> Control_;
  std::map<std::string, std::unique_ptr<PoolOwner>> Owners_;
  /// Last report of each pool's owner, by pool.
  std::map<std::string, PendingRow> Pending_;
  PoolAdmission Admission_;
  std::shared_ptr<PendingReporter> PendingReporter_;
  TimePoint NextPendingReport_;
  bool IsReleased_ = false;
};

SchedulerNode::Parts::Parts(const Builder &Source)
    : Settings_(Source.Settings_), Clock_(*Source.Clock_),
      Store_(*Source.Store_), Limits_(Source.Limits_), Logger_(*Source.Logger_),
      MachineOrders_(Settings_.Node_, Clock_),
      Access_(Settings_.ConfigurationDelay_, Settings_.RevocationDelay_),
      Admission_(Settings_, Clock_, Logger_, [this](const std::string &Pool) {
        return Ownership_->currentToken(Pool);
      }) {
  OwnerBuilder_.settings(Settings_)
      .clock(Clock_)
      .store(Store_)
      .workers(*Source.Workers_)
      .machines(*Source.Machines_)
      .advisor(*Source.Advisor_)
      .machineOrders(MachineOrders_)
      .demands(Demands_)
      .logger(Logger_);
  JobRequests_ = std::make_shared<JobRequestHandler>(
      Store_, Clock_, Logger_, Queues_,
      [this](const std::string &Job) -> std::optional<JobPhase> {
        for (const auto &[Pool, Owner] : Owners_)
          if (auto State = Owner->stateOf(Job))
            return State;
        return std::nullopt;
      });
  JobRequests_->setAdmission(Admission_);
  PendingReporter_ = std::make_shared<PendingReporter>(
      Store_, Clock_,
      [this](const std::string &Pool, StoreVersion Version,
             const PendingRow &Row) {
        Admission_.onPendingRow(Pool, Version, Row, /*IsSnapshot=*/false);
        Pending_[Pool] = Row;
      });
  Ownership_ = std::make_shared<PoolLeaseManager>(
      Settings_, Source.Process_,
      Source.LeaseStore_ != nullptr ? *Source.LeaseStore_ : Store_, Clock_,
      Logger_,
      [this](const PoolOwnership &Ownership) { onPoolAcquired(Ownership); },
      [this](const std::string &Pool, TimePoint End, FencingToken Renewal,
             std::uint64_t RunNumberRange) {
        auto Found = Owners_.find(Pool);
        if (Found != Owners_.end())
          Found->second->extendLease(End, Renewal, RunNumberRange);
      },
      [this](const std::string &Pool) { onPoolLost(Pool); });
  Ownership_->setOnReleasing([this](const std::string &Pool) {
    auto Found = Owners_.find(Pool);
    return Found == Owners_.end() ? std::vector<StorePut>()
                                  : Found->second->rowsForRelease();
  });
  Control_ = std::make_shared<TableFollower>(
      Store_, Clock_, Logger_, controlrows::Table, "", ControlReadDelay,
      [this](const std::vector<StoreRow> &Rows, bool IsSnapshot) {
        onControlRows(Rows, IsSnapshot);
      });
}

void SchedulerNode::Parts::onControlRows(const std::vector<StoreRow> &Rows,
                                         bool IsSnapshot) {
  const std::string OwnerPrefix = controlrows::OwnerPrefix;
  const std::string MachinePrefix = controlrows::MachinePrefix;
  const std::string NodePrefix = controlrows::NodePrefix;
  const std::string TakeoverPrefix = controlrows::TakeoverPrefix;
  const std::string PendingPrefix = controlrows::PendingPrefix;
  const std::string DemandPrefix = controlrows::DemandPrefix;
  const std::string QueuePrefix = controlrows::QueuePrefix;
  for (const StoreRow &Row : Rows) {
    const std::string &Key = Row.Name_.Key_;
    if (Limits_ != nullptr)
      Limits_->onControlRow(Row);
    if (Row.IsRemoved_)
      continue;
    if (Key.starts_with(OwnerPrefix))
      Ownership_->onOwnerRow(Key.substr(OwnerPrefix.size()), Row);
    if (Key.starts_with(NodePrefix))
      if (auto Read = controlrows::decodeNode(Row.Value_))
        Ownership_->onNodeRow(Key.substr(NodePrefix.size()), *Read);
    if (Key.starts_with(TakeoverPrefix))
      Ownership_->onTakeoverRow(Key.substr(TakeoverPrefix.size()), Row);
    if (Key.starts_with(MachinePrefix))
      MachineOrders_.onRow(Key.substr(MachinePrefix.size()), Row);
    if (Key.starts_with(DemandPrefix))
      Demands_.onRow(Key.substr(DemandPrefix.size()), Row);
    if (Key.starts_with(QueuePrefix))
      if (auto Read = controlrows::decodeQueue(Row.Value_))
        onQueueRow(*Read);
    if (!Key.starts_with(PendingPrefix))
      continue;
    if (auto Read = controlrows::decodePending(Row.Value_)) {
      const std::string Pool = Key.substr(PendingPrefix.size());
      if (!PendingReporter_->onRow(Pool, Row, *Read))
        continue;
      Admission_.onPendingRow(Pool, Row.Version_, *Read, IsSnapshot);
      Pending_[Pool] = *Read;
    }
  }
  if (IsSnapshot)
    Ownership_->setLoaded();
}

void SchedulerNode::Parts::onQueueRow(const QueueRow &Row) {
  Queues_.add(Row.Pool_, Row.Queue_);
  auto Found = Owners_.find(Row.Pool_);
  if (Found != Owners_.end())
    Found->second->addQueues({Row.Queue_});
}

void SchedulerNode::Parts::onPoolAcquired(const PoolOwnership &Ownership) {
  if (Limits_ != nullptr)
    OwnerBuilder_.limits(
        Limits_->onPoolAcquired(Ownership.Pool_, Ownership.Token_));
  auto Owner = OwnerBuilder_.build(Ownership);
  Owner->onConfiguration(Configuration_);
  Owner->addQueues(Queues_.queuesOf(Ownership.Pool_));
  std::vector<MaintenanceWave> Waves;
  for (const auto &[Number, Wave] : Waves_)
    Waves.push_back(Wave);
  Owner->onWaves(Waves);
  Owners_[Ownership.Pool_] = std::move(Owner);
  HaveWorkersChanged_ = true;
}

void SchedulerNode::Parts::onPoolLost(const std::string &Pool) {
  Owners_.erase(Pool);
  if (Limits_ != nullptr)
    Limits_->onPoolLost(Pool);
  PendingReporter_->forget(Pool);
}

void SchedulerNode::Parts::distributeWorkers() {
  HaveWorkersChanged_ = false;
  std::vector<WorkerEntry> All;
  for (const auto &[Id, Worker] : Workers_)
    All.push_back(Worker);
  for (auto &[Pool, Owner] : Owners_)
    Owner->onWorkers(All);
}

void SchedulerNode::Parts::reportPending() {
  if (Clock_.now() < NextPendingReport_)
    return;
  NextPendingReport_ = Clock_.now() + PendingReportInterval;
  for (auto &[Pool, Owner] : Owners_) {
    auto Pending = Owner->pendingJobs();
    if (!Pending)
      continue;
    PendingRow Row{Owner->token(), *Pending, std::nullopt};
    if (Settings_.RefusesUnderPressure_)
      Row.Backlog_ = Owner->measureBacklog();
    PendingReporter_->report(Pool, Row);
  }
}

void SchedulerNode::Parts::dispatchRaisedPools() {
  if (Limits_ == nullptr)
    return;
  for (const std::string &Pool : Limits_->takeRaisedPools())
    if (auto Found = Owners_.find(Pool); Found != Owners_.end())
      Found->second->requestDispatch();
}

void SchedulerNode::Parts::tickLimits() {
  if (Limits_ == nullptr)
    return;
  for (auto &[Pool, Owner] : Owners_)
    if (const CustomerUsage *Usage = Owner->customerUsage())
      Limits_->onUsage(Pool, *Usage, Owner->isUsageExact());
  Limits_->tick(Control_->provenAsOf());
}

void SchedulerNode::Parts::tickOwnership() {
  Ownership_->setViewCurrent(isControlViewCurrent());
  Ownership_->tick();
}

void SchedulerNode::Parts::watchConfigurationAge() {
  if (!Configuration_)
    return;
  const bool IsOutdated = !isConfigurationCurrent();
  if (std::exchange(IsConfigurationOutdated_, IsOutdated) == IsOutdated)
    return;
  Logger_.write(
      IsOutdated ? LogLevel::Warning : LogLevel::Info,
      LogEvent(IsOutdated ? "configuration.outdated" : "configuration.current")
          .with("version", Configuration_->Version_)
          .with("age", configurationAge()));
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

SchedulerNode::Builder &SchedulerNode::Builder::leaseStore(IStore &Value) {
  LeaseStore_ = &Value;
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

SchedulerNode::Builder &
SchedulerNode::Builder::limits(ICustomerLimitsRegistry &Value) {
  Limits_ = &Value;
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
  for (const std::string &Problem :
       Parts_->Access_.setCustomers(Parts_->Configuration_->Customers_))
    Parts_->Logger_.write(
        LogLevel::Warning,
        LogEvent("customer.invalid").with("problem", Problem));
  std::vector<std::string> Pools;
  for (const SchedulingPool &Pool : Parts_->Configuration_->Pools_)
    Pools.push_back(Pool.Name_);
  Parts_->Ownership_->setPools(Pools);
  if (Parts_->Limits_ != nullptr)
    Parts_->Limits_->onConfiguration(*Parts_->Configuration_);
  for (auto &[Pool, Owner] : Parts_->Owners_)
    Owner->onConfiguration(Parts_->Configuration_);
}

void SchedulerNode::onConfigurationsRead(TimePoint AsOf) {
  Parts_->ConfigurationAsOf_ = AsOf;
}

void SchedulerNode::onConfigurationProven(TimePoint AsOf) {
  Parts_->Access_.setProof({AsOf});
}

void SchedulerNode::onWorker(const WorkerEntry &Worker) {
  WorkerEntry &Known = Parts_->Workers_[Worker.Id_];
  if (Known == Worker)
    return;
  Known = Worker;
  Parts_->HaveWorkersChanged_ = true;
}

void SchedulerNode::onWorkerRemoved(const std::string &Id) {
  if (Parts_->Workers_.erase(Id) > 0)
    Parts_->HaveWorkersChanged_ = true;
}

void SchedulerNode::onWorkerSnapshot(const std::vector<WorkerEntry> &Workers) {
  Parts_->AreWorkersKnown_ = true;
  Parts_->Workers_.clear();
  for (const WorkerEntry &Worker : Workers)
    Parts_->Workers_[Worker.Id_] = Worker;
  Parts_->HaveWorkersChanged_ = true;
}

void SchedulerNode::onWorkersUnfollowed() {
  Parts_->AreWorkersKnown_ = false;
  Parts_->Workers_.clear();
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
  Parts_->watchConfigurationAge();
  Parts_->JobRequests_->tick();
  Parts_->Admission_.tick();
  if (!Parts_->IsReleased_)
    Parts_->tickOwnership();
  if (Parts_->HaveWorkersChanged_ && Parts_->AreWorkersKnown_)
    Parts_->distributeWorkers();
  Parts_->dispatchRaisedPools();
  for (auto &[Pool, Owner] : Parts_->Owners_) {
    Owner->tick();
    Parts_->Ownership_->reserveRunNumbers(Pool,
                                          Owner->requestedRunNumberRange());
  }
  Parts_->tickLimits();
  Parts_->reportPending();
}

void SchedulerNode::release() {
  Parts_->IsReleased_ = true;
  Parts_->Ownership_->releaseAll();
}

const SchedulingConfiguration *SchedulerNode::configuration() const {
  return Parts_->Configuration_.get();
}

std::chrono::milliseconds SchedulerNode::configurationAge() const {
  return Parts_->configurationAge();
}

bool SchedulerNode::isConfigurationCurrent() const {
  return Parts_->isConfigurationCurrent();
}

AccessDecision SchedulerNode::authorize(
    const QueueSetting &Queue,
    const std::vector<std::string_view> &Authorization) const {
  if (Queue.IsPublic_ || !Parts_->Settings_.HasCustomers_)
    return {};
  return Parts_->Access_.decide(Authorization, Parts_->Clock_.now());
}

bool SchedulerNode::isReady() const {
  return Parts_->Configuration_ && !Parts_->IsReleased_ &&
         Parts_->Control_->isLoaded() && Parts_->isControlViewCurrent();
}

bool SchedulerNode::needsWorkers() const { return !Parts_->Owners_.empty(); }

std::vector<PoolView> SchedulerNode::pools() const {
  std::vector<PoolView> Views;
  for (const auto &[Pool, Owner] : Parts_->Owners_)
    Views.push_back(Owner->view());
  return Views;
}

JobRequestHandler &SchedulerNode::jobRequests() {
  return *Parts_->JobRequests_;
}

std::optional<std::uint64_t>
SchedulerNode::pendingJobCount(const std::string &Queue) const {
  const QueueSetting *Known =
      Parts_->Configuration_ ? Parts_->Configuration_->queue(Queue) : nullptr;
  if (Known == nullptr || !Parts_->Control_->isLoaded())
    return std::nullopt;
  std::uint64_t Sum = 0;
  bool HasOwnerReport = false;
  for (const auto &[Pool, Row] : Parts_->Pending_) {
    // A count reported by a previous owner is out of date.
    if (Parts_->Ownership_->currentToken(Pool) != Row.Token_)
      continue;
    HasOwnerReport = HasOwnerReport || Pool == Known->Pool_;
    auto Found = Row.Pending_.find(Queue);
    if (Found != Row.Pending_.end())
      Sum += Found->second;
  }
  return HasOwnerReport ? std::optional(Sum) : std::nullopt;
}

} // namespace dragonflylock
