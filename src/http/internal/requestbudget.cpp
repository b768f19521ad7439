#include "http/requestbudget.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace dragonflylock {
namespace {

/// Time without a byte after which a request counts as stalled. Senders on slow
/// links pause for less.
constexpr std::chrono::seconds StallTime{1};

/// Order of closing: the largest is closed first.
using Badness = std::pair<bool, double>;

Badness badnessOf(const RequestBudget::Holding &Current, TimePoint Now) {
  const bool IsStalled = Now - Current.LastByteAt_ >= StallTime;
  // Of requests that have just begun, the larger one is worse.
  const std::chrono::duration<double> Age = std::max<TimePoint::duration>(
      Now - Current.BegunAt_, std::chrono::milliseconds(1));
  return {IsStalled, static_cast<double>(Current.Bytes_) * Age.count()};
}

} // namespace

void RequestBudget::hold(Id Connection, const Holding &Current) {
  Holding &Known = Holdings_[Connection];
  Total_ = Total_ - Known.Bytes_ + Current.Bytes_;
  Known = Current;
}

void RequestBudget::release(Id Connection) {
  auto Found = Holdings_.find(Connection);
  if (Found == Holdings_.end())
    return;
  Total_ -= Found->second.Bytes_;
  Holdings_.erase(Found);
}

std::vector<RequestBudget::Id> RequestBudget::takeExcess(TimePoint Now) {
  if (Total_ <= Limit_)
    return {};
  // Some room beyond the excess, so that a crowd does not cause a search for
  // each of its packets.
  const std::size_t Target = Limit_ - Limit_ / 8;
  std::vector<std::pair<Badness, Id>> Candidates;
  for (const auto &[Connection, Current] : Holdings_)
    if (Current.IsClosable_ && Current.Bytes_ > 0)
      Candidates.emplace_back(badnessOf(Current, Now), Connection);
  std::sort(Candidates.rbegin(), Candidates.rend());
  std::vector<Id> Excess;
  for (const auto &[Rank, Connection] : Candidates) {
    if (Total_ <= Target)
      break;
    release(Connection);
    Excess.push_back(Connection);
  }
  return Excess;
}

std::optional<RequestBudget::Id> RequestBudget::takeWorst(TimePoint Now) {
  std::optional<std::pair<Badness, Id>> Worst;
  for (const auto &[Connection, Current] : Holdings_) {
    if (!Current.IsClosable_)
      continue;
    std::pair Each{badnessOf(Current, Now), Connection};
    if (!Worst || *Worst < Each)
      Worst = Each;
  }
  if (!Worst)
    return std::nullopt;
  release(Worst->second);
  return Worst->second;
}

} // namespace dragonflylock
