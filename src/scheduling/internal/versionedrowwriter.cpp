#include "scheduling/versionedrowwriter.h"

#include <algorithm>
#include <utility>

namespace dragonflylock {

VersionedRowWriter::VersionedRowWriter(IStore &Store)
    : Store_(Store), Versions_(std::make_shared<Versions>()) {}

void VersionedRowWriter::write(const StoreKey &Row, std::string Value,
                               IStore::TransactionCallback Done) {
  StoreTransaction Transaction;
  Transaction.Expected_ = {{Row, (*Versions_)[Row]}};
  Transaction.Puts_ = {{Row, std::move(Value)}};
  Store_.transact(
      std::move(Transaction), [Row, Known = Versions_, Done = std::move(Done)](
                                  const StoreTransactionResult &Result) {
        StoreVersion &Version = (*Known)[Row];
        if (Result.Outcome_ == StoreOutcome::Done)
          Version = std::max(Version, Result.Version_);
        // A row that does not exist has version 0.
        if (Result.Outcome_ == StoreOutcome::ConditionFailed)
          Version =
              Result.Current_.empty() ? 0 : Result.Current_.front().Version_;
        Done(Result);
      });
}

bool VersionedRowWriter::onRow(const StoreRow &Row) {
  StoreVersion &Known = (*Versions_)[Row.Name_];
  if (Row.Version_ < Known)
    return false;
  Known = Row.Version_;
  return true;
}

} // namespace dragonflylock
