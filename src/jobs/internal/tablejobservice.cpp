#include "jobs/internal/tablejobservice.h"
#include "global/iclock.h"
#include "jobs/jobcodec.h"
#include "jobs/jobstatemachine.h"
#include "platformservices/itableservice.h"
#include "platformservices/platformerrors.h"
#include "platformservices/tablenames.h"

namespace dragonflylock {
namespace {

/// Maximum number of inserts of one job, each followed by a read, until it is
/// known whether the job is stored.
constexpr int MaxAttempts = 3;

} // namespace

TableJobService::TableJobService(ITableService &Table, const IClock &Clock)
    : Table_(Table), Clock_(Clock) {}

Result<StoredJob> TableJobService::create(const std::string &Id,
                                          const JobRecord &NewJob) {
  Error LastError(PlatformErrc::Unavailable, "not tried", "try again");
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    auto Written = Table_.transact({{{tables::Jobs, Id},
                                     RowCondition::absent(),
                                     jobcodec::encode(NewJob)}});
    if (Written)
      return StoredJob{NewJob, Written.value().front()};
    bool IsFirst = Attempt == 0;
    if (IsFirst && Written.error().kind() == PlatformErrc::Unavailable)
      return Written.error();
    LastError = Written.error();
    auto Found = read(Id);
    if (Found && Found.value())
      return *Found.value();
  }
  return Error(PlatformErrc::AnswerLost, LastError.detail(),
               "repeat with the same Idempotency-Key");
}

Result<std::optional<StoredJob>> TableJobService::read(const std::string &Id) {
  auto Row = Table_.read({tables::Jobs, Id});
  if (!Row)
    return Row.error();
  if (!Row.value())
    return std::optional<StoredJob>();
  auto Record = jobcodec::decode(Row.value()->Value_);
  if (!Record)
    return Record.error();
  return std::optional<StoredJob>(
      StoredJob{std::move(Record.value()), Row.value()->Version_});
}

Result<RowVersion> TableJobService::write(const std::string &Id,
                                          RowVersion Version,
                                          const JobRecord &Next) {
  JobRecord Stamped = Next;
  if (JobStateMachine::hasEnded(Next))
    Stamped.EndedMs_ = millisecondsSinceEpoch(Clock_.wallNow());
  auto Written = Table_.transact({{{tables::Jobs, Id},
                                   RowCondition::at(Version),
                                   jobcodec::encode(Stamped)}});
  if (!Written)
    return Written.error();
  return Written.value().front();
}

Result<void> TableJobService::refresh() {
  auto Changes = Table_.readChanges(tables::Jobs, Revision_);
  if (!Changes)
    return Changes.error();
  if (Changes.value().IsSnapshot_)
    UnfinishedJobs_.clear();
  for (const TableRow &Row : Changes.value().Rows_) {
    auto Record = jobcodec::decode(Row.Value_);
    if (Record && !JobStateMachine::hasEnded(Record.value()))
      UnfinishedJobs_[Row.Key_] = {std::move(Record.value()), Row.Version_};
    else
      UnfinishedJobs_.erase(Row.Key_);
  }
  for (const std::string &Key : Changes.value().Deleted_)
    UnfinishedJobs_.erase(Key);
  Revision_ = Changes.value().Revision_;
  return {};
}

} // namespace dragonflylock
