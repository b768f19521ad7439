#include "claims/internal/tableclaimservice.h"
#include "claims/claimcodec.h"
#include "global/iclock.h"
#include "platformservices/itableservice.h"
#include "platformservices/platformerrors.h"
#include "platformservices/tablenames.h"

#include <algorithm>

namespace dragonflylock {
namespace {

/// How long an unavailable table is tried before a request is refused.
constexpr std::chrono::milliseconds UnavailableLimit{1000};
/// How long the settlement of a claim is tried.
constexpr std::chrono::minutes SettlementLimit{5};
/// Rows of one transaction.
constexpr std::size_t LargestGroup = 64;

ClaimMachine::InsertResult resultOf(const Error &Failure) {
  if (Failure.kind() == PlatformErrc::ConditionFailed)
    return ClaimMachine::InsertResult::ConditionFailed;
  if (Failure.kind() == PlatformErrc::Unavailable)
    return ClaimMachine::InsertResult::NotWritten;
  return ClaimMachine::InsertResult::AnswerLost;
}

} // namespace

TableClaimService::TableClaimService(ITableService &Table, const IClock &Clock)
    : Table_(Table), Clock_(Clock) {}

TableClaimService::~TableClaimService() = default;

void TableClaimService::obtain(std::uint64_t Request, ClaimRequest Wanted,
                               TimePoint Deadline) {
  Machines_.emplace(
      Request, ClaimMachine(std::move(Wanted), Deadline, UnavailableLimit));
}

void TableClaimService::settle(ClaimSettlement Settlement) {
  auto Found = Held_.find(Settlement.Request_);
  if (Found == Held_.end())
    return;
  Pending_.push_back({std::move(Found->second), std::move(Settlement),
                      Clock_.now() + SettlementLimit});
  Held_.erase(Found);
}

std::vector<ClaimEnd> TableClaimService::runRound() {
  std::vector<std::uint64_t> Inserts;
  std::vector<std::uint64_t> Reads;
  for (auto &[Request, Machine] : Machines_) {
    auto Step = Machine.next(Clock_.now());
    if (Step == ClaimMachine::Step::Insert && Inserts.size() < LargestGroup)
      Inserts.push_back(Request);
    if (Step == ClaimMachine::Step::Read)
      Reads.push_back(Request);
  }
  if (!writeTogether(Inserts)) {
    insertDue(Inserts);
    writeSettlements();
  }
  for (std::uint64_t Request : Reads)
    readRow(Request);
  std::vector<ClaimEnd> Ended = collectEnded();
  if (Ended.empty())
    removeLeftovers();
  return Ended;
}

bool TableClaimService::writeTogether(
    const std::vector<std::uint64_t> &Inserts) {
  std::size_t Settled = std::min(Pending_.size(), LargestGroup);
  if (Inserts.empty() || Settled == 0)
    return false;
  std::vector<RowWrite> Writes;
  Writes.reserve(Inserts.size() + Settled);
  for (std::uint64_t Request : Inserts)
    Writes.push_back(insertOf(Machines_.at(Request).wanted()));
  for (std::size_t Index = 0; Index < Settled; ++Index)
    Writes.push_back(writeOf(Pending_[Index]));
  auto Written = Table_.transact(Writes);
  if (!Written)
    return false;
  for (std::size_t Index = 0; Index < Inserts.size(); ++Index)
    Machines_.at(Inserts[Index])
        .onInsert(Clock_.now(), ClaimMachine::InsertResult::Written,
                  Written.value()[Index]);
  Pending_.erase(Pending_.begin(),
                 Pending_.begin() + static_cast<std::ptrdiff_t>(Settled));
  return true;
}

void TableClaimService::insertDue(const std::vector<std::uint64_t> &Requests) {
  if (Requests.empty())
    return;
  std::vector<RowWrite> Writes;
  Writes.reserve(Requests.size());
  for (std::uint64_t Request : Requests)
    Writes.push_back(insertOf(Machines_.at(Request).wanted()));
  auto Written = Table_.transact(Writes);
  TimePoint Now = Clock_.now();
  if (Written) {
    for (std::size_t Index = 0; Index < Requests.size(); ++Index)
      Machines_.at(Requests[Index])
          .onInsert(Now, ClaimMachine::InsertResult::Written,
                    Written.value()[Index]);
    return;
  }
  auto Outcome = resultOf(Written.error());
  bool IsOneAtFault = Outcome == ClaimMachine::InsertResult::ConditionFailed &&
                      Requests.size() > 1;
  for (std::uint64_t Request : Requests) {
    // One row that exists fails the whole group; each is then tried alone.
    if (IsOneAtFault)
      insertAlone(Request);
    else
      Machines_.at(Request).onInsert(Now, Outcome, 0);
  }
}

void TableClaimService::insertAlone(std::uint64_t Request) {
  ClaimMachine &Machine = Machines_.at(Request);
  auto Written = Table_.transact({insertOf(Machine.wanted())});
  TimePoint Now = Clock_.now();
  if (Written)
    Machine.onInsert(Now, ClaimMachine::InsertResult::Written,
                     Written.value().front());
  else
    Machine.onInsert(Now, resultOf(Written.error()), 0);
}

void TableClaimService::readRow(std::uint64_t Request) {
  ClaimMachine &Machine = Machines_.at(Request);
  auto Row = Table_.read({tables::Claims, Machine.wanted().Key_});
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

std::vector<ClaimEnd> TableClaimService::collectEnded() {
  std::vector<ClaimEnd> Ended;
  for (auto Each = Machines_.begin(); Each != Machines_.end();) {
    ClaimMachine &Machine = Each->second;
    if (Machine.next(Clock_.now()) != ClaimMachine::Step::Done) {
      ++Each;
      continue;
    }
    Ended.push_back({Each->first, Machine.verdict(), Machine.answer()});
    if (Machine.verdict() == ClaimVerdict::Granted)
      Held_[Each->first] = {Machine.wanted(), Machine.version()};
    if (Machine.mayHaveLeftRow())
      Leftovers_.push_back({Machine.wanted(), Clock_.now() + SettlementLimit});
    Each = Machines_.erase(Each);
  }
  return Ended;
}

void TableClaimService::writeSettlements() {
  if (Pending_.empty())
    return;
  std::size_t Size = std::min(Pending_.size(), LargestGroup);
  std::vector<RowWrite> Writes;
  for (std::size_t Index = 0; Index < Size; ++Index)
    Writes.push_back(writeOf(Pending_[Index]));
  auto First = Pending_.begin();
  auto Last = First + static_cast<std::ptrdiff_t>(Size);
  if (Table_.transact(Writes)) {
    Pending_.erase(First, Last);
    return;
  }
  // A group that fails as a whole is written row by row; what fails again
  // waits behind the others.
  std::vector<Pending> Group(std::make_move_iterator(First),
                             std::make_move_iterator(Last));
  Pending_.erase(First, Last);
  for (Pending &Entry : Group) {
    if (!writeAlone(Entry) && Clock_.now() < Entry.GiveUpAt_)
      Pending_.push_back(std::move(Entry));
  }
}

bool TableClaimService::writeAlone(const Pending &Entry) {
  auto Written = Table_.transact({writeOf(Entry)});
  // Only the holder writes a claimed row, so a version that has moved on
  // means that an earlier try took effect.
  return Written || Written.error().kind() == PlatformErrc::ConditionFailed;
}

void TableClaimService::removeLeftovers() {
  std::erase_if(Leftovers_, [this](const Leftover &Entry) {
    return removeLeftover(Entry.Claim_) || Clock_.now() >= Entry.GiveUpAt_;
  });
}

bool TableClaimService::removeLeftover(const ClaimRequest &Wanted) {
  RowKey Key{tables::Claims, Wanted.Key_};
  auto Row = Table_.read(Key);
  if (!Row)
    return false;
  if (!Row.value())
    return true;
  auto Record = claimcodec::decode(Row.value()->Value_);
  if (!Record || Record.value().AttemptId_ != Wanted.AttemptId_)
    return true;
  RowWrite Removal{Key, RowCondition::at(Row.value()->Version_), std::nullopt};
  return static_cast<bool>(Table_.transact({Removal}));
}

ClaimRecord TableClaimService::recordOf(const ClaimRequest &Wanted) const {
  ClaimRecord Record;
  Record.AttemptId_ = Wanted.AttemptId_;
  Record.Fingerprint_ = Wanted.Fingerprint_;
  Record.CreatedMs_ = millisecondsSinceEpoch(Clock_.wallNow());
  return Record;
}

RowWrite TableClaimService::insertOf(const ClaimRequest &Wanted) const {
  return {{tables::Claims, Wanted.Key_},
          RowCondition::absent(),
          claimcodec::encode(recordOf(Wanted))};
}

RowWrite TableClaimService::writeOf(const Pending &Entry) const {
  const ClaimRequest &Claim = Entry.Claim_.Claim_;
  RowWrite Write{{tables::Claims, Claim.Key_},
                 RowCondition::at(Entry.Claim_.Version_),
                 std::nullopt};
  if (!Entry.Settlement_.Phase_)
    return Write;
  ClaimRecord Record = recordOf(Claim);
  Record.Phase_ = *Entry.Settlement_.Phase_;
  Record.Answer_ = Entry.Settlement_.Answer_;
  Write.Value_ = claimcodec::encode(Record);
  return Write;
}

bool TableClaimService::isIdle() const {
  return Machines_.empty() && Pending_.empty() && Leftovers_.empty();
}

} // namespace dragonflylock
