#include "entry/internal/fleetworker.h"
#include "claims/claimcodec.h"
#include "configuration/fleetconfiguration.h"
#include "fleet/fleetcodec.h"
#include "fleet/rendezvous.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "jobs/jobcodec.h"
#include "jobs/jobstatemachine.h"
#include "operators/ientryview.h"
#include "operators/operatorstypes.h"
#include "platformservices/iplatform.h"
#include "platformservices/tablenames.h"

#include <algorithm>

namespace dragonflylock {
namespace {

constexpr std::size_t AcknowledgementRing = 1024;
constexpr std::chrono::milliseconds Interval{500};
constexpr std::chrono::milliseconds SnapshotLimit{2000};
constexpr const char *Duty = "fleet";
/// How often old rows are looked for, where there were few the last time.
constexpr std::chrono::seconds SweepInterval{10};

std::optional<std::int64_t> claimUsedMs(const TableRow &Row) {
  auto Record = claimcodec::decode(Row.Value_);
  if (!Record)
    return std::nullopt;
  return Record.value().CreatedMs_;
}

std::optional<std::int64_t> jobEndedMs(const TableRow &Row) {
  auto Record = jobcodec::decode(Row.Value_);
  if (!Record || !JobStateMachine::hasEnded(Record.value()))
    return std::nullopt;
  return Record.value().EndedMs_;
}

} // namespace

FleetWorker::FleetWorker(std::string Name, std::shared_ptr<IPlatform> Platform,
                         const IClock &Clock, IEntryView &View,
                         ITraceSink &Trace, ILogger &Logger)
    : Name_(std::move(Name)), Platform_(std::move(Platform)), View_(View),
      Logger_(Logger), Clock_(Clock), Controller_(*Platform_, Clock, Trace),
      Claims_(*Platform_, Clock, tables::Claims, claimUsedMs),
      Jobs_(*Platform_, Clock, tables::Jobs, jobEndedMs),
      Ring_(AcknowledgementRing, Signal_) {}

FleetWorker::~FleetWorker() { stop(); }

void FleetWorker::start() {
  Thread_ = std::thread([this] { run(); });
}

void FleetWorker::stop() {
  if (!Thread_.joinable())
    return;
  IsStopping_ = true;
  Signal_.wake();
  Thread_.join();
  removeRegistration();
}

bool FleetWorker::acknowledge(Acknowledgement Quiet) {
  return Ring_.tryPut(std::move(Quiet));
}

void FleetWorker::run() {
  while (!IsStopping_) {
    writeAcknowledgements();
    steer();
    Signal_.waitFor(Interval);
  }
}

void FleetWorker::writeAcknowledgements() {
  Ring_.drain([this](Acknowledgement Quiet) {
    Unwritten_.push_back(std::move(Quiet));
  });
  if (Unwritten_.empty())
    return;
  std::vector<RowWrite> Writes;
  Writes.reserve(Unwritten_.size());
  for (const Acknowledgement &Each : Unwritten_)
    Writes.push_back({{tables::Acknowledgements,
                       fleetcodec::acknowledgementKey(Each.Instance_, Name_)},
                      RowCondition::any(),
                      std::to_string(Each.Epoch_)});
  if (Platform_->transact(Writes))
    Unwritten_.clear();
}

void FleetWorker::steer() {
  auto Snapshot = View_.snapshot(SnapshotLimit);
  if (!Snapshot || !Snapshot.value().Configuration_)
    return;
  std::vector<std::string> Members{Name_};
  for (const Heartbeat &Peer : Snapshot.value().Peers_) {
    if (Peer.IsReady_)
      Members.push_back(Peer.Name_);
  }
  if (chooseMember(Duty, Members) != Name_)
    return;
  sweep(*Snapshot.value().Configuration_);
  auto Done = Controller_.runRound(*Snapshot.value().Configuration_);
  if (!Done)
    Logger_.write(
        LogLevel::Debug,
        LogEvent("fleet.round-failed").with("error", Done.error().message()));
}

void FleetWorker::sweep(const FleetConfiguration &Fleet) {
  TimePoint Now = Clock_.now();
  if (Now < NextSweep_)
    return;
  // A claim does not name its pool, so that the longest retention holds.
  std::chrono::milliseconds Retention = Fleet.defaults().AnswerRetention_;
  for (const auto &[Name, Settings] : Fleet.pools())
    Retention = std::max(Retention, Settings.AnswerRetention_);
  bool HasMore = false;
  for (RetentionSweeper *Each : {&Claims_, &Jobs_}) {
    auto Removed = Each->sweepOnce(Retention);
    HasMore |= Removed && Removed.value() == RetentionSweeper::BatchSize;
  }
  NextSweep_ = HasMore ? Now : Now + SweepInterval;
}

void FleetWorker::removeRegistration() {
  Platform_->transact(
      {{{tables::Entries, Name_}, RowCondition::any(), std::nullopt}});
}

} // namespace dragonflylock
