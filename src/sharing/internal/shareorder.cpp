#include "sharing/shareorder.h"

#include <algorithm>
#include <cmath>

namespace dragonflylock {
namespace {

/// Part of past use above the present use that counts. With the whole of it, a
/// customer that shares a pool with one that joins later would get nothing for
/// about the time of the decay.
constexpr double PastPart = 0.5;
/// Past use below which a customer without work is forgotten, in thousandths of
/// a core, megabytes or accelerators.
constexpr double NegligibleUse = 0.01;
/// Shares are sums of rounded quotients; the smallest real excess is much
/// larger.
constexpr double RoundingTolerance = 1e-6;

} // namespace

ShareOrder::Amounts ShareOrder::amountsOf(const Resources &From) {
  return {static_cast<double>(From.CpuMillis_),
          static_cast<double>(From.MemoryMb_), static_cast<double>(From.Gpus_)};
}

void ShareOrder::decay(TimePoint Now) {
  using Seconds = std::chrono::duration<double>;
  const double Passed = std::max(0.0, Seconds(Now - LastUpdate_).count());
  const double Kept = std::exp(-Passed / Seconds(UsageDecay).count());
  for (auto &[Name, Each] : Customers_)
    for (std::size_t Kind = 0; Kind < KindCount; ++Kind)
      Each.Past_[Kind] =
          Each.Running_[Kind] + (Each.Past_[Kind] - Each.Running_[Kind]) * Kept;
  LastUpdate_ = Now;
}

void ShareOrder::chooseScarcest(const Resources &Capacity) {
  const Amounts Most = amountsOf(Capacity);
  Amounts Running{};
  Amounts Needed{};
  for (const auto &[Name, Each] : Customers_)
    for (std::size_t Kind = 0; Kind < KindCount; ++Kind) {
      Running[Kind] += Each.Running_[Kind];
      Needed[Kind] += Each.Running_[Kind] + Each.Waiting_[Kind];
    }
  const bool IsIdle = Running == Amounts{};
  const Amounts &Used = IsIdle ? Needed : Running;
  double Highest = 0;
  for (std::size_t Kind = 0; Kind < KindCount; ++Kind) {
    if (Most[Kind] <= 0 || Used[Kind] / Most[Kind] <= Highest)
      continue;
    Highest = Used[Kind] / Most[Kind];
    Scarcest_ = Kind;
  }
}

bool ShareOrder::divide() {
  const std::size_t Kind = Scarcest_;
  double Left = 0;
  double WeightLeft = 0;
  bool HasChanged = false;
  ByNeed_.clear();
  for (auto &[Name, Each] : Customers_) {
    if (!Each.IsActive_)
      continue;
    const double Running = Each.Running_[Kind];
    Each.Share_.Used_ =
        Running + PastPart * std::max(0.0, Each.Past_[Kind] - Running);
    Left += Each.Share_.Used_;
    WeightLeft += Each.Weight_;
    ByNeed_.push_back(&Each);
  }
  auto NeedOf = [Kind](const State &Each) {
    return Each.Share_.Used_ + Each.Waiting_[Kind];
  };
  std::sort(ByNeed_.begin(), ByNeed_.end(),
            [&](const State *Less, const State *More) {
              return NeedOf(*Less) * More->Weight_ <
                     NeedOf(*More) * Less->Weight_;
            });
  // A customer keeps its weight's share though it needs less now.
  const double PerWeight = WeightLeft > 0 ? Left / WeightLeft : 0;
  for (State *Each : ByNeed_) {
    const double Part = Left * Each->Weight_ / WeightLeft;
    const double Given = std::min(Part, NeedOf(*Each));
    Left -= Given;
    WeightLeft -= Each->Weight_;
    Share &Of = Each->Share_;
    Of.Fair_ = std::max(Given, PerWeight * Each->Weight_);
    const bool IsExceeded = Of.Used_ > Of.Fair_ * (1 + RoundingTolerance);
    HasChanged = HasChanged || IsExceeded != Of.IsExceeded_;
    Of.IsExceeded_ = IsExceeded;
  }
  return HasChanged;
}

void ShareOrder::update(const std::vector<CustomerLoad> &Loads,
                        const Resources &Capacity, TimePoint Now) {
  decay(Now);
  for (auto &[Name, Each] : Customers_) {
    Each.Running_ = {};
    Each.Waiting_ = {};
    Each.IsActive_ = false;
    Each.Share_ = {};
  }
  for (const CustomerLoad &Load : Loads) {
    State &Known = Customers_[Load.Name_];
    Known.Weight_ =
        static_cast<double>(std::max<std::uint64_t>(Load.Weight_, 1));
    Known.Running_ = amountsOf(Load.Running_);
    Known.Waiting_ = amountsOf(Load.Waiting_);
    Known.IsActive_ = true;
  }
  std::erase_if(Customers_, [](const auto &Each) {
    return !Each.second.IsActive_ &&
           *std::max_element(Each.second.Past_.begin(),
                             Each.second.Past_.end()) < NegligibleUse;
  });
  chooseScarcest(Capacity);
  divide();
}

bool ShareOrder::addStart(const std::string &Customer,
                          const Resources &Started) {
  auto Found = Customers_.find(Customer);
  if (Found == Customers_.end() || !Found->second.IsActive_)
    return false;
  const Amounts Added = amountsOf(Started);
  State &Each = Found->second;
  for (std::size_t Kind = 0; Kind < KindCount; ++Kind) {
    Each.Running_[Kind] += Added[Kind];
    Each.Waiting_[Kind] = std::max(0.0, Each.Waiting_[Kind] - Added[Kind]);
  }
  return divide();
}

const char *ShareOrder::scarcestResource() const {
  constexpr std::array<const char *, KindCount> Names = {"cpu-millis", "mem-mb",
                                                         "gpus"};
  return Names[Scarcest_];
}

ShareOrder::Share ShareOrder::shareOf(const std::string &Customer) const {
  auto Found = Customers_.find(Customer);
  return Found == Customers_.end() ? Share() : Found->second.Share_;
}

} // namespace dragonflylock
