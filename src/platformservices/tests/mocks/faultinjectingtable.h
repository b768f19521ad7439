#ifndef DRAGONFLYLOCK_PLATFORMSERVICES_TESTS_MOCKS_FAULTINJECTINGTABLE_H
#define DRAGONFLYLOCK_PLATFORMSERVICES_TESTS_MOCKS_FAULTINJECTINGTABLE_H

#include "platformservices/itableservice.h"
#include "platformservices/platformerrors.h"

#include <functional>
#include <utility>

namespace dragonflylock {

/// Forwards calls to another table and injects faults into some of them.
class FaultInjectingTable : public ITableService {
public:
  enum class Fault {
    /// The call is rejected; nothing is written.
    Unavailable,
    /// The response is lost; nothing is written.
    LostBeforeWrite,
    /// The response is lost after the write took effect.
    LostAfterWrite,
  };

  /// \param Inner stores the rows; must outlive this.
  explicit FaultInjectingTable(ITableService &Inner) : Inner_(Inner) {}

  /// Forwards the next \p CallsBefore calls and injects \p Kind into the
  /// \p CallCount calls after them.
  void injectFault(Fault Kind, int CallsBefore, int CallCount) {
    Kind_ = Kind;
    CallsBeforeFault_ = CallsBefore;
    CallsToFail_ = CallCount;
  }
  /// Runs \p Callback once, right before the next transaction.
  void runBeforeNextTransaction(std::function<void()> Callback) {
    BeforeTransaction_ = std::move(Callback);
  }
  /// \returns the number of calls of transact(), failed ones included.
  int transactionCount() const { return Transactions_; }

  Result<std::optional<TableRow>> read(const RowKey &Row) override {
    if (shouldFailCall())
      return makeError();
    return Inner_.read(Row);
  }

  Result<TableChanges> readChanges(const std::string &Table,
                                   TableRevision Since) override {
    if (shouldFailCall())
      return makeError();
    return Inner_.readChanges(Table, Since);
  }

  Result<std::vector<TableRow>> readOldest(const std::string &Table,
                                           std::size_t Count) override {
    if (shouldFailCall())
      return makeError();
    return Inner_.readOldest(Table, Count);
  }

  Result<std::vector<RowVersion>>
  transact(const std::vector<RowWrite> &Writes) override {
    ++Transactions_;
    if (auto Callback = std::exchange(BeforeTransaction_, nullptr))
      Callback();
    if (!shouldFailCall())
      return Inner_.transact(Writes);
    if (Kind_ == Fault::LostAfterWrite)
      Inner_.transact(Writes);
    return makeError();
  }

private:
  bool shouldFailCall() {
    if (CallsBeforeFault_ > 0) {
      --CallsBeforeFault_;
      return false;
    }
    if (CallsToFail_ == 0)
      return false;
    --CallsToFail_;
    return true;
  }

  Error makeError() const {
    bool IsUnavailable = Kind_ == Fault::Unavailable;
    return {IsUnavailable ? PlatformErrc::Unavailable
                          : PlatformErrc::AnswerLost,
            "failed by fault injection", "none"};
  }

  ITableService &Inner_;
  Fault Kind_ = Fault::Unavailable;
  int CallsBeforeFault_ = 0;
  int CallsToFail_ = 0;
  int Transactions_ = 0;
  std::function<void()> BeforeTransaction_;
};

} // namespace dragonflylock

#endif
