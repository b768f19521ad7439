#include "claims/internal/tableclaimservice.h"
#include "claims/claimcodec.h"
#include "global/iclock.h"
#include "platformservices/itableservice.h"
#include "platformservices/platformerrors.h"
#include "platformservices/tablenames.h"

#include <algorithm>

namespace dragonflylock {
namespace {

/// How long calls to an unavailable table are retried before the claim is
/// refused.
constexpr std::chrono::milliseconds UnavailableTimeout{1000};
/// How long writing a settlement or removing an unconfirmed row is retried.
constexpr std::chrono::minutes SettlementTimeout{5};
/// Maximum number of inserts, and of settlements, in one transaction.
constexpr std::size_t MaxBatchSize = 64;

ClaimStateMachine::InsertResult resultOf(const Error &Failure) {
  if (Failure.kind() == PlatformErrc::ConditionFailed)
    return ClaimStateMachine::InsertResult::ConditionFailed;
  if (Failure.kind() == PlatformErrc::Unavailable)
    return ClaimStateMachine::InsertResult::NotWritten;
  return ClaimStateMachine::InsertResult::AnswerLost;
}

} // namespace

TableClaimService::TableClaimService(ITableService &Table, const IClock &Clock)
    : Table_(Table), Clock_(Clock) {}

TableClaimService::~TableClaimService() = default;

void TableClaimService::obtain(std::uint64_t Request, ClaimRequest Claim,
                               TimePoint Deadline) {
  Attempts_.emplace(Request, ClaimStateMachine(std::move(Claim), Deadline,
                                               UnavailableTimeout));
}

void TableClaimService::settle(ClaimSettlement Settlement) {
  auto Found = GrantedClaims_.find(Settlement.Request_);
  if (Found == GrantedClaims_.end())
    return;
  PendingSettlements_.push_back({std::move(Found->second),
                                 std::move(Settlement),
                                 Clock_.now() + SettlementTimeout});
  GrantedClaims_.erase(Found);
}

std::vector<ClaimResult> TableClaimService::runRound() {
  std::vector<std::uint64_t> Inserts;
  std::vector<std::uint64_t> Reads;
  for (auto &[Request, Machine] : Attempts_) {
    auto Step = Machine.next(Clock_.now());
    if (Step == ClaimStateMachine::Step::Insert &&
        Inserts.size() < MaxBatchSize)
      Inserts.push_back(Request);
    if (Step == ClaimStateMachine::Step::Read)
      Reads.push_back(Request);
  }
  if (!insertAndSettle(Inserts)) {
    insertBatch(Inserts);
    writeSettlements();
  }
  for (std::uint64_t Request : Reads)
    readRow(Request);
  std::vector<ClaimResult> Ended = collectEnded();
  if (Ended.empty())
    removeUnconfirmedRows();
  return Ended;
}

bool TableClaimService::insertAndSettle(
    const std::vector<std::uint64_t> &Inserts) {
  std::size_t Settled = std::min(PendingSettlements_.size(), MaxBatchSize);
  if (Inserts.empty() || Settled == 0)
    return false;
  std::vector<RowWrite> Writes;
  Writes.reserve(Inserts.size() + Settled);
  for (std::uint64_t Request : Inserts)
    Writes.push_back(insertOf(Attempts_.at(Request).claim()));
  for (std::size_t Index = 0; Index < Settled; ++Index)
    Writes.push_back(writeOf(PendingSettlements_[Index]));
  auto Written = Table_.transact(Writes);
  if (!Written)
    return false;
  for (std::size_t Index = 0; Index < Inserts.size(); ++Index)
    Attempts_.at(Inserts[Index])
        .onInsert(Clock_.now(), ClaimStateMachine::InsertResult::Written,
                  Written.value()[Index]);
  PendingSettlements_.erase(PendingSettlements_.begin(),
                            PendingSettlements_.begin() +
                                static_cast<std::ptrdiff_t>(Settled));
  return true;
}

void TableClaimService::insertBatch(
    const std::vector<std::uint64_t> &Requests) {
  if (Requests.empty())
    return;
  std::vector<RowWrite> Writes;
  Writes.reserve(Requests.size());
  for (std::uint64_t Request : Requests)
    Writes.push_back(insertOf(Attempts_.at(Request).claim()));
  auto Written = Table_.transact(Writes);
  TimePoint Now = Clock_.now();
  if (Written) {
    for (std::size_t Index = 0; Index < Requests.size(); ++Index)
      Attempts_.at(Requests[Index])
          .onInsert(Now, ClaimStateMachine::InsertResult::Written,
                    Written.value()[Index]);
    return;
  }
  auto Outcome = resultOf(Written.error());
  bool HasConflictingRow =
      Outcome == ClaimStateMachine::InsertResult::ConditionFailed &&
      Requests.size() > 1;
  for (std::uint64_t Request : Requests) {
    // One existing row makes the whole transaction fail, so each claim is then
    // inserted on its own.
    if (HasConflictingRow)
      insertSingle(Request);
    else
      Attempts_.at(Request).onInsert(Now, Outcome, 0);
  }
}

void TableClaimService::insertSingle(std::uint64_t Request) {
  ClaimStateMachine &Machine = Attempts_.at(Request);
  auto Written = Table_.transact({insertOf(Machine.claim())});
  TimePoint Now = Clock_.now();
  if (Written)
    Machine.onInsert(Now, ClaimStateMachine::InsertResult::Written,
                     Written.value().front());
  else
    Machine.onInsert(Now, resultOf(Written.error()), 0);
}

void TableClaimService::readRow(std::uint64_t Request) {
  ClaimStateMachine &Machine = Attempts_.at(Request);
  auto Row = Table_.read({tables::Claims, Machine.claim().Key_});
  TimePoint Now = Clock_.now();
  if (!Row) {
    Machine.onReadFailed(Now);
    return;
  }
  if (!Row.value()) {
    Machine.onRead(Now, std::nullopt, 0);
    return;
  }
  auto Record = claimcodec::decode(Row.value()->Value_);
  if (!Record) {
    Machine.onReadFailed(Now);
    return;
  }
  Machine.onRead(Now, Record.value(), Row.value()->Version_);
}

std::vector<ClaimResult> TableClaimService::collectEnded() {
  std::vector<ClaimResult> Ended;
  for (auto Each = Attempts_.begin(); Each != Attempts_.end();) {
    ClaimStateMachine &Machine = Each->second;
    if (Machine.next(Clock_.now()) != ClaimStateMachine::Step::Done) {
      ++Each;
      continue;
    }
    Ended.push_back({Each->first, Machine.outcome(), Machine.answer()});
    if (Machine.outcome() == ClaimOutcome::Granted)
      GrantedClaims_[Each->first] = {Machine.claim(), Machine.version()};
    if (Machine.mayHaveUnconfirmedRow())
      UnconfirmedClaims_.push_back(
          {Machine.claim(), Clock_.now() + SettlementTimeout});
    Each = Attempts_.erase(Each);
  }
  return Ended;
}

void TableClaimService::writeSettlements() {
  if (PendingSettlements_.empty())
    return;
  std::size_t Size = std::min(PendingSettlements_.size(), MaxBatchSize);
  std::vector<RowWrite> Writes;
  for (std::size_t Index = 0; Index < Size; ++Index)
    Writes.push_back(writeOf(PendingSettlements_[Index]));
  auto First = PendingSettlements_.begin();
  auto Last = First + static_cast<std::ptrdiff_t>(Size);
  if (Table_.transact(Writes)) {
    PendingSettlements_.erase(First, Last);
    return;
  }
  // If the transaction fails, its settlements are written one by one. Those
  // that fail again move to the end of the queue.
  std::vector<PendingSettlement> Batch(std::make_move_iterator(First),
                                       std::make_move_iterator(Last));
  PendingSettlements_.erase(First, Last);
  for (PendingSettlement &Entry : Batch) {
    if (!writeSettlement(Entry) && Clock_.now() < Entry.Deadline_)
      PendingSettlements_.push_back(std::move(Entry));
  }
}

bool TableClaimService::writeSettlement(const PendingSettlement &Entry) {
  auto Written = Table_.transact({writeOf(Entry)});
  // Only the holder writes a claimed row, so a version conflict means that an
  // earlier write of this settlement took effect.
  return Written || Written.error().kind() == PlatformErrc::ConditionFailed;
}

void TableClaimService::removeUnconfirmedRows() {
  std::erase_if(UnconfirmedClaims_, [this](const UnconfirmedClaim &Entry) {
    return removeUnconfirmedRow(Entry.Claim_) ||
           Clock_.now() >= Entry.Deadline_;
  });
}

bool TableClaimService::removeUnconfirmedRow(const ClaimRequest &Claim) {
  RowKey Key{tables::Claims, Claim.Key_};
  auto Row = Table_.read(Key);
  if (!Row)
    return false;
  if (!Row.value())
    return true;
  auto Record = claimcodec::decode(Row.value()->Value_);
  if (!Record || Record.value().AttemptId_ != Claim.AttemptId_)
    return true;
  RowWrite Removal{Key, RowCondition::at(Row.value()->Version_), std::nullopt};
  return static_cast<bool>(Table_.transact({Removal}));
}

ClaimRecord TableClaimService::recordOf(const ClaimRequest &Claim) const {
  ClaimRecord Record;
  Record.AttemptId_ = Claim.AttemptId_;
  Record.Fingerprint_ = Claim.Fingerprint_;
  Record.CreatedMs_ = millisecondsSinceEpoch(Clock_.wallNow());
  return Record;
}

RowWrite TableClaimService::insertOf(const ClaimRequest &Claim) const {
  return {{tables::Claims, Claim.Key_},
          RowCondition::absent(),
          claimcodec::encode(recordOf(Claim))};
}

RowWrite TableClaimService::writeOf(const PendingSettlement &Entry) const {
  const ClaimRequest &SettledClaim = Entry.Claim_.Claim_;
  RowWrite Write{{tables::Claims, SettledClaim.Key_},
                 RowCondition::at(Entry.Claim_.Version_),
                 std::nullopt};
  if (!Entry.Settlement_.Phase_)
    return Write;
  ClaimRecord Record = recordOf(SettledClaim);
  Record.Phase_ = *Entry.Settlement_.Phase_;
  Record.Answer_ = Entry.Settlement_.Answer_;
  Write.Value_ = claimcodec::encode(Record);
  return Write;
}

bool TableClaimService::isIdle() const {
  return Attempts_.empty() && PendingSettlements_.empty() &&
         UnconfirmedClaims_.empty();
}

} // namespace dragonflylock
