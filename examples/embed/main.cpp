#include "claims/claimstatemachine.h"
#include "fleet/availabilitybudget.h"

#include <iostream>
#include <optional>

namespace {

using namespace dragonflylock;
using Step = ClaimStateMachine::Step;

/// A table of one row whose first write takes effect while its answer is lost.
class ForgetfulTable {
public:
  ClaimStateMachine::InsertResult insert(const ClaimRequest &Wanted) {
    Row_ = ClaimRecord();
    Row_->AttemptId_ = Wanted.AttemptId_;
    Row_->Fingerprint_ = Wanted.Fingerprint_;
    return ClaimStateMachine::InsertResult::AnswerLost;
  }
  const std::optional<ClaimRecord> &row() const { return Row_; }

private:
  std::optional<ClaimRecord> Row_;
};

bool obtainClaim() {
  ForgetfulTable Table;
  TimePoint Now;
  ClaimStateMachine Machine({"swap-17", "attempt-1", "digest"},
                            Now + std::chrono::seconds(5),
                            std::chrono::seconds(1));
  while (Machine.next(Now) != Step::Done) {
    if (Machine.next(Now) == Step::Insert)
      Machine.onInsert(Now, Table.insert(Machine.claim()), 0);
    else if (Machine.next(Now) == Step::Read)
      Machine.onRead(Now, Table.row(), 1);
    Now += std::chrono::milliseconds(10);
  }
  return Machine.outcome() == ClaimOutcome::Granted;
}

} // namespace

int main() {
  bool IsGranted = obtainClaim();
  std::cout << "claim granted after a lost answer: " << IsGranted << "\n";
  AvailabilityBudget Budget(/*MinimumAvailable=*/0.75, /*FailureReserve=*/1);
  PoolMemberCounts Count{/*Members_=*/12, /*OutOfService_=*/1, /*Failed_=*/0,
                         /*LargestRackSize_=*/4};
  bool MayTakeOut = Budget.allowsDisruption(Count);
  std::cout << "a second of 12 may be taken out: " << MayTakeOut << "\n";
  return IsGranted && MayTakeOut ? 0 : 1;
}
