#ifndef DRAGONFLYLOCK_PLATFORMSERVICES_TESTS_MOCKS_FAULTYTABLE_H
#define DRAGONFLYLOCK_PLATFORMSERVICES_TESTS_MOCKS_FAULTYTABLE_H

#include "platformservices/itableservice.h"
#include "platformservices/platformerrors.h"

#include <functional>
#include <utility>

namespace dragonflylock {

/// Passes calls on to another table, and fails some on purpose.
class FaultyTable : public ITableService {
public:
  enum class Fault {
    /// The call is refused; nothing is written.
    Unavailable,
    /// The answer is lost and nothing is written.
    LostBefore,
    /// The answer is lost after the write took effect.
    LostAfter,
  };

  /// \param Inner holds the rows; must outlive this.
  explicit FaultyTable(ITableService &Inner) : Inner_(Inner) {}

  /// Lets \p Length calls fail, after \p First more that succeed.
  void fail(Fault Kind, int First, int Length) {
    Kind_ = Kind;
    CallsUntil_ = First;
    CallsToFail_ = Length;
  }
  /// Runs \p Task once, right before the next transaction.
  void beforeTransact(std::function<void()> Task) { Task_ = std::move(Task); }
  /// \returns the transactions that were asked for.
  int transactions() const { return Transactions_; }

  Result<std::optional<TableRow>> read(const RowKey &Row) override {
    if (isFailing())
      return failure();
    return Inner_.read(Row);
  }

  Result<TableChanges> readChanges(const std::string &Table,
                                   TableRevision Since) override {
    if (isFailing())
      return failure();
    return Inner_.readChanges(Table, Since);
  }

  Result<std::vector<TableRow>> readOldest(const std::string &Table,
                                           std::size_t Count) override {
    if (isFailing())
      return failure();
    return Inner_.readOldest(Table, Count);
  }

  Result<std::vector<RowVersion>>
  transact(const std::vector<RowWrite> &Writes) override {
    ++Transactions_;
    if (auto Task = std::exchange(Task_, nullptr))
      Task();
    if (!isFailing())
      return Inner_.transact(Writes);
    if (Kind_ == Fault::LostAfter)
      Inner_.transact(Writes);
    return failure();
  }

private:
  bool isFailing() {
    if (CallsUntil_ > 0) {
      --CallsUntil_;
      return false;
    }
    if (CallsToFail_ == 0)
      return false;
    --CallsToFail_;
    return true;
  }

  Error failure() const {
    bool IsRefused = Kind_ == Fault::Unavailable;
    return {IsRefused ? PlatformErrc::Unavailable : PlatformErrc::AnswerLost,
            "failed on purpose", "none"};
  }

  ITableService &Inner_;
  Fault Kind_ = Fault::Unavailable;
  int CallsUntil_ = 0;
  int CallsToFail_ = 0;
  int Transactions_ = 0;
  std::function<void()> Task_;
};

} // namespace dragonflylock

#endif
