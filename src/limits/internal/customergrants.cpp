#include "limits/internal/customergrants.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "limits/internal/amounts.h"

#include <utility>

namespace dragonflylock {
namespace {

/// Time after an unreadable row within which no grant is raised: owners read
/// the replaced row within about 0.2 s and record what they run.
constexpr std::chrono::milliseconds RecoveryDelay{500};

} // namespace

void CustomerGrants::onRow(const StoreRow &Row) {
  if (Row.Version_ <= ReadVersion_)
    return;
  ReadVersion_ = Row.Version_;
  Version_ = Row.IsRemoved_ ? 0 : Row.Version_;
  if (Row.IsRemoved_) {
    Raw_.reset();
    setRow({});
  } else {
    Raw_ = Row.Value_;
  }
}

void CustomerGrants::onAbsent(StoreVersion Expected) {
  if (Expected != Version_ || Version_ == 0)
    return;
  Version_ = 0;
  Raw_.reset();
  setRow({});
}

void CustomerGrants::onWritten(const GrantRow &Row, StoreVersion Version) {
  if (Version <= ReadVersion_)
    return;
  ReadVersion_ = Version;
  Version_ = Version;
  Raw_.reset();
  setRow(Row);
}

void CustomerGrants::setConfigured(const std::optional<Resources> &Limit,
                                   std::uint64_t ConfigurationVersion) {
  Configured_.reset();
  ConfigurationVersion_ = ConfigurationVersion;
  // A negative value limits nothing, like 0.
  if (Limit && !amounts::isNone(amounts::maxOf(*Limit, {})))
    Configured_ = amounts::maxOf(*Limit, {});
}

const Resources *CustomerGrants::limit() {
  decode();
  if (Row_.ConfigurationVersion_ > ConfigurationVersion_ &&
      !amounts::isNone(Row_.Limit_))
    return &Row_.Limit_;
  return Configured_ ? &*Configured_ : nullptr;
}

const GrantRow &CustomerGrants::row() {
  decode();
  return Row_;
}

const Resources &CustomerGrants::sum() {
  decode();
  return Sum_;
}

const PoolGrant *CustomerGrants::grantOf(const std::string &Pool) {
  decode();
  auto Found = Row_.Pools_.find(Pool);
  return Found == Row_.Pools_.end() ? nullptr : &Found->second;
}

GrantRow CustomerGrants::rowToChange() {
  decode();
  GrantRow Next = Row_;
  if (ConfigurationVersion_ >= Next.ConfigurationVersion_ && Configured_) {
    Next.ConfigurationVersion_ = ConfigurationVersion_;
    Next.Limit_ = *Configured_;
  }
  return Next;
}

void CustomerGrants::decode() {
  if (!Raw_)
    return;
  const std::string Text = std::exchange(Raw_, std::nullopt).value();
  auto Read = grantrows::decode(Text);
  if (!Read) {
    RecoveredAt_ = Clock_.now() + RecoveryDelay;
    Logger_.write(LogLevel::Error, LogEvent("limit.unreadable")
                                       .with("customer", Customer_)
                                       .with("version", Version_));
  }
  setRow(Read.value_or(GrantRow()));
}

void CustomerGrants::setRow(GrantRow Row) {
  Row_ = std::move(Row);
  Sum_ = Row_.sum();
}

} // namespace dragonflylock
