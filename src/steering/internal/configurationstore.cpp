#include "steering/configurationstore.h"
#include "configuration/configurationerrors.h"
#include "configuration/fleetconfiguration.h"
#include "configuration/iconfigurationparser.h"
#include "global/iclock.h"
#include "platformservices/itableservice.h"
#include "platformservices/platformerrors.h"
#include "platformservices/tablenames.h"
#include "steering/steeringcodec.h"

namespace dragonflylock {
namespace {

/// Attempts to write a change that names no expected version while concurrent
/// changes are accepted first.
constexpr int MaxAttempts = 5;
/// Attempts to read the outcome of a write whose response was lost.
constexpr int MaxReadBacks = 5;
constexpr std::size_t MaxDocumentBytes = 1U << 20U;

const RowKey CurrentRow{tables::Configuration, tables::CurrentConfiguration};

Error conflict(const StoredConfiguration &Existing) {
  return {ConfigurationErrc::VersionConflict,
          "version " + std::to_string(Existing.Version_) + " by " +
              Existing.Operator_ + " was accepted first",
          "read the current configuration and apply the change to it"};
}

} // namespace

ConfigurationStore::ConfigurationStore(ITableService &Table,
                                       const IConfigurationParser &Parser,
                                       const IClock &Clock)
    : Table_(Table), Parser_(Parser), Clock_(Clock) {}

Result<std::optional<ConfigurationStore::Current>>
ConfigurationStore::readCurrent() {
  auto Row = Table_.read(CurrentRow);
  if (!Row)
    return Row.error();
  if (!Row.value())
    return std::optional<Current>();
  auto Stored = steeringcodec::decodeConfiguration(Row.value()->Value_);
  if (!Stored)
    return Stored.error();
  return std::optional<Current>(
      Current{Row.value()->Version_, std::move(Stored.value())});
}

Result<std::optional<StoredConfiguration>> ConfigurationStore::current() {
  auto Found = readCurrent();
  if (!Found)
    return Found.error();
  if (!Found.value())
    return std::optional<StoredConfiguration>();
  return std::optional<StoredConfiguration>(Found.value()->Stored_);
}

Result<ConfigurationVersion>
ConfigurationStore::accept(const ConfigurationChange &Change) {
  if (Change.Document_.size() > MaxDocumentBytes)
    return Error(ConfigurationErrc::TooLarge,
                 std::to_string(Change.Document_.size()) +
                     " bytes exceed the limit of 1 MiB",
                 "reduce the document to at most 1 MiB");
  ParsedConfiguration Parsed = Parser_.parse(Change.Document_);
  if (!Parsed.Configuration_)
    return Parsed.Faults_.front();
  auto Earlier = findAcceptedVersion(Change.ChangeId_);
  if (!Earlier)
    return Error(PlatformErrc::AnswerLost, Earlier.error().detail(),
                 "repeat the change with the same change id");
  if (Earlier.value())
    return *Earlier.value();
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    auto Accepted = tryAccept(Change);
    bool ShouldRetry =
        !Accepted && !Change.Expected_ &&
        Accepted.error().kind() == ConfigurationErrc::VersionConflict;
    if (!ShouldRetry)
      return Accepted;
  }
  return Error(ConfigurationErrc::VersionConflict,
               "other changes kept coming first", "repeat the change");
}

Result<ConfigurationVersion>
ConfigurationStore::tryAccept(const ConfigurationChange &Change) {
  auto Base = readCurrent();
  if (!Base)
    return Error(PlatformErrc::Unavailable, Base.error().detail(),
                 "nothing was changed; repeat the change");
  StoredConfiguration Known =
      Base.value() ? Base.value()->Stored_ : StoredConfiguration();
  if (Change.Expected_ && *Change.Expected_ != Known.Version_)
    return conflict(Known);
  auto Written = Table_.transact(buildWrites(Change, Base.value()));
  if (Written)
    return Known.Version_ + 1;
  if (Written.error().kind() == PlatformErrc::Unavailable)
    return Written.error();
  return resolveUnknownOutcome(Change, Known.Version_ + 1, Written.error());
}

Result<std::optional<ConfigurationVersion>>
ConfigurationStore::findAcceptedVersion(const std::string &ChangeId) {
  auto Row = Table_.read({tables::ConfigurationChanges, ChangeId});
  if (!Row)
    return Row.error();
  if (!Row.value())
    return std::optional<ConfigurationVersion>();
  auto Stored = steeringcodec::decodeConfiguration(Row.value()->Value_);
  if (!Stored)
    return Stored.error();
  return std::optional<ConfigurationVersion>(Stored.value().Version_);
}

Result<ConfigurationVersion>
ConfigurationStore::resolveUnknownOutcome(const ConfigurationChange &Change,
                                          ConfigurationVersion AttemptedVersion,
                                          const Error &Failure) {
  for (int ReadBack = 0; ReadBack < MaxReadBacks; ++ReadBack) {
    // The current row is read before the receipt. Once it has reached
    // AttemptedVersion, a write whose response was lost can no longer succeed,
    // so a receipt that is still missing will not appear later.
    auto Found = readCurrent();
    auto Accepted = findAcceptedVersion(Change.ChangeId_);
    if (!Found || !Accepted)
      continue;
    if (Accepted.value())
      return *Accepted.value();
    if (Found.value() && Found.value()->Stored_.Version_ >= AttemptedVersion)
      return conflict(Found.value()->Stored_);
  }
  return Error(PlatformErrc::AnswerLost, Failure.detail(),
               "repeat the change with the same change id");
}

std::vector<RowWrite>
ConfigurationStore::buildWrites(const ConfigurationChange &Change,
                                const std::optional<Current> &Base) const {
  StoredConfiguration Next;
  Next.Version_ = Base ? Base->Stored_.Version_ + 1 : 1;
  Next.Document_ = Change.Document_;
  Next.ChangeId_ = Change.ChangeId_;
  Next.Operator_ = Change.Operator_;
  Next.Reason_ = Change.Reason_;
  Next.AcceptedMs_ = millisecondsSinceEpoch(Clock_.wallNow());
  AuditRecord Audit{Next.AcceptedMs_, Change.Operator_, "configuration",
                    "version " + std::to_string(Next.Version_) +
                        (Change.Reason_.empty() ? "" : ": " + Change.Reason_),
                    Change.ChangeId_};
  std::string Value = steeringcodec::encode(Next);
  StoredConfiguration Receipt = Next;
  Receipt.Document_.clear();
  auto Condition =
      Base ? RowCondition::at(Base->RowVersion_) : RowCondition::absent();
  return {
      {CurrentRow, Condition, Value},
      {{tables::ConfigurationHistory, steeringcodec::historyKey(Next.Version_)},
       RowCondition::absent(),
       Value},
      {{tables::ConfigurationChanges, Change.ChangeId_},
       RowCondition::absent(),
       steeringcodec::encode(Receipt)},
      {{tables::Audit, steeringcodec::auditKey(Audit)},
       RowCondition::absent(),
       steeringcodec::encode(Audit)}};
}

} // namespace dragonflylock
