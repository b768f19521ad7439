#include "scheduling/internal/takeoverrequests.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/istore.h"

namespace dragonflylock {
namespace {

/// How long a request is valid, and how long a node waits for the answer to its
/// own. An owner reads the control rows several times a second.
constexpr std::chrono::milliseconds RequestValidity{2500};

} // namespace

TakeoverRequests::TakeoverRequests(std::string Node, IStore &Store,
                                   const IClock &Clock, ILogger &Logger)
    : Node_(std::move(Node)), Store_(Store), Clock_(Clock), Logger_(Logger) {}

void TakeoverRequests::onRow(const std::string &Pool, const StoreRow &Row) {
  Request &Known = Latest_[Pool];
  if (Row.Version_ <= Known.Version_)
    return;
  auto Read = controlrows::decodeTakeover(Row.Value_);
  if (!Read)
    Logger_.write(
        LogLevel::Error,
        LogEvent("takeover-row.unreadable").with("row", Row.Name_.Key_));
  Known = {Read.value_or(TakeoverRow()), Row.Version_, Clock_.now()};
}

bool TakeoverRequests::isRecent(const Request &Known) const {
  return Known.Version_ > 0 && Clock_.now() < Known.SeenAt_ + RequestValidity;
}

void TakeoverRequests::request(const std::string &Pool, FencingToken Token) {
  Request &Known = Latest_[Pool];
  if (Clock_.now() < NextRequest_ ||
      (isRecent(Known) && Known.Row_.Token_ == Token))
    return;
  NextRequest_ = Clock_.now() + RequestValidity;
  Logger_.write(
      LogLevel::Info,
      LogEvent("pool.requested").with("pool", Pool).with("token", Token));
  const TakeoverRow Wanted{Node_, Token};
  const StoreKey Row = controlrows::takeover(Pool);
  StoreTransaction Transaction;
  Transaction.Expected_ = {{Row, Known.Version_}};
  Transaction.Puts_ = {{Row, controlrows::encode(Wanted)}};
  Store_.transact(std::move(Transaction),
                  [Weak = weak_from_this(), Pool,
                   Wanted](const StoreTransactionResult &Result) {
                    if (auto Self = Weak.lock())
                      Self->onWritten(Pool, Wanted, Result);
                  });
}

void TakeoverRequests::onWritten(const std::string &Pool,
                                 const TakeoverRow &Written,
                                 const StoreTransactionResult &Result) {
  Request &Known = Latest_[Pool];
  if (Result.Outcome_ == StoreOutcome::Done && Result.Version_ > Known.Version_)
    Known = {Written, Result.Version_, Clock_.now()};
  else if (Result.Outcome_ == StoreOutcome::ConditionFailed &&
           !Result.Current_.empty())
    onRow(Pool, Result.Current_.front());
  // After any other outcome the request may be stored or not; its row, if it
  // is, arrives like those of other nodes.
}

std::optional<std::string>
TakeoverRequests::requesterOf(const std::string &Pool,
                              FencingToken Token) const {
  auto Found = Latest_.find(Pool);
  if (Found == Latest_.end() || !isRecent(Found->second) ||
      Found->second.Row_.Token_ != Token)
    return std::nullopt;
  return Found->second.Row_.Node_;
}

} // namespace dragonflylock
