#include "entry/internal/platformwatcher.h"
#include "fleet/fleetcodec.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "metrics/ientrymetrics.h"
#include "platformservices/iplatform.h"
#include "platformservices/tablenames.h"
#include "steering/steeringcodec.h"

namespace dragonflylock {

PlatformWatcher::PlatformWatcher(Registration Self,
                                 std::shared_ptr<IPlatform> Platform,
                                 std::chrono::milliseconds Interval,
                                 Receiver OnNews, const IClock &Clock,
                                 IEntryMetrics &Metrics, ILogger &Logger)
    : Self_(std::move(Self)), Platform_(std::move(Platform)),
      Interval_(Interval), OnNews_(std::move(OnNews)), Clock_(Clock),
      Metrics_(Metrics), Logger_(Logger) {}

PlatformWatcher::~PlatformWatcher() { stop(); }

void PlatformWatcher::start() {
  Thread_ = std::thread([this] { run(); });
}

void PlatformWatcher::stop() {
  IsStopping_ = true;
  Signal_.wake();
  if (Thread_.joinable())
    Thread_.join();
}

void PlatformWatcher::run() {
  while (!IsStopping_) {
    pollOnce();
    Signal_.waitFor(Interval_);
  }
}

void PlatformWatcher::pollOnce() {
  bool IsUp =
      registerEntry() && pollConfiguration() && pollRows() && pollList();
  if (IsUp && !IsPlatformUp_)
    Logger_.write(LogLevel::Info, LogEvent("platform.up"));
  IsPlatformUp_ = IsUp;
}

bool PlatformWatcher::registerEntry() {
  if (IsRegistered_)
    return true;
  std::string Value = fleetcodec::encode(EntryRow{Self_.Zone_, Self_.Boot_});
  auto Written = Platform_->transact(
      {{{tables::Entries, Self_.Name_}, RowCondition::any(), Value}});
  if (!Written) {
    noteFailure(Written.error());
    return false;
  }
  // All rows are read anew after the registration, so that this instance
  // knows every epoch that was written without its acknowledgement.
  RowsRevision_ = 0;
  IsRegistered_ = true;
  return true;
}

bool PlatformWatcher::pollConfiguration() {
  auto Changes =
      Platform_->readChanges(tables::Configuration, ConfigurationRevision_);
  if (!Changes) {
    noteFailure(Changes.error());
    return false;
  }
  for (const TableRow &Row : Changes.value().Rows_) {
    auto Stored = steeringcodec::decodeConfiguration(Row.Value_);
    if (!Stored) {
      noteFailure(Stored.error());
      continue;
    }
    ConfigurationEvent News{Stored.value().Version_,
                            std::move(Stored.value().Document_)};
    if (!OnNews_(std::move(News)))
      return true;
  }
  ConfigurationRevision_ = Changes.value().Revision_;
  return true;
}

bool PlatformWatcher::pollRows() {
  TimePoint StartedAt = Clock_.now();
  auto Changes = Platform_->readChanges(tables::Instances, RowsRevision_);
  if (!Changes) {
    noteFailure(Changes.error());
    return false;
  }
  TableRevision Revision = Changes.value().Revision_;
  InstanceRowsEvent News{std::move(Changes.value()), StartedAt, IsRegistered_};
  if (OnNews_(std::move(News)))
    RowsRevision_ = Revision;
  return true;
}

bool PlatformWatcher::pollList() {
  auto List = Platform_->list();
  if (!List) {
    noteFailure(List.error());
    return false;
  }
  std::string Tag = List.value().Tag_;
  bool IsNews = Tag.empty() || Tag != ListTag_;
  if (IsNews && OnNews_(std::move(List.value())))
    ListTag_ = Tag;
  return true;
}

void PlatformWatcher::noteFailure(const Error &Failure) {
  Metrics_.platformFailed();
  if (!IsPlatformUp_)
    return;
  Logger_.write(LogLevel::Warning,
                LogEvent("platform.failed").with("error", Failure.message()));
}

} // namespace dragonflylock
