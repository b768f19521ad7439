#include "scheduling/internal/sharetracker.h"
#include "global/ilogger.h"
#include "global/logevent.h"
#include "scheduling/internal/poolstate.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace dragonflylock {
namespace {

/// Interval between updates of the shares. Starts count at once; with ends that
/// count up to this much later, the cost for 110 customers stays small.
constexpr std::chrono::milliseconds UpdateInterval{20};
/// How long jobs of other customers may overtake a job before it has a turn.
constexpr std::chrono::milliseconds MaxOvertaking{3000};
/// Time from the end of a customer's turn to its next one.
constexpr std::chrono::milliseconds TurnPause{3000};
/// Longest turn. Resources are reserved for a gang for no longer either; a job
/// that does not fit by then must not use up its customer's turns.
constexpr std::chrono::milliseconds MaxTurn{6000};
/// Wait of a job from which on the pool counts as full.
constexpr std::chrono::milliseconds FullPoolWait{500};
/// A share is logged as exceeded above this multiple. Below it, single tasks
/// make customers go over their share and back many times a second.
constexpr double LoggedExcess = 1.25;
/// Minimum time between two log lines about a customer, and time for which the
/// share must not have been exceeded before that is logged.
constexpr std::chrono::milliseconds LogInterval{1000};

const std::string &customerOf(const WaitingJob &Job) {
  return Job.Job_->submission().Spec_.Customer_;
}

std::uint64_t rounded(double Amount) {
  return static_cast<std::uint64_t>(std::llround(std::max(0.0, Amount)));
}

} // namespace

bool ShareTracker::BySince::operator()(const WaitingJob *Left,
                                       const WaitingJob *Right) const {
  return std::tie(Left->Since_, Left->Job_->id()) <
         std::tie(Right->Since_, Right->Job_->id());
}

bool ShareTracker::isCounted(const ActiveJob &Job) const {
  return Pool_.Settings_.RefusesUnderPressure_ ||
         !Job.submission().Spec_.Customer_.empty();
}

void ShareTracker::add(WaitingJob &Job, const Resources &Needed) {
  CustomerQueue &Queue = Queues_[customerOf(Job)];
  Queue.Needed_ += Needed;
  if (Job.IsCounted_)
    Queue.Needed_ -= Job.Needed_;
  else
    Job.Since_ = Pool_.Clock_.now();
  Job.Needed_ = Needed;
  Job.IsCounted_ = true;
  Queue.Jobs_.insert(&Job);
}

void ShareTracker::remove(WaitingJob &Job) {
  if (!Job.IsCounted_)
    return;
  CustomerQueue &Queue = Queues_[customerOf(Job)];
  Queue.Needed_ -= Job.Needed_;
  Queue.Jobs_.erase(&Job);
  if (Queue.Turn_ == &Job)
    Queue.Turn_ = nullptr;
  Job.IsCounted_ = false;
}

void ShareTracker::restartWait(CustomerQueue &Queue, WaitingJob &Job) {
  Queue.Jobs_.erase(&Job);
  Job.Since_ = Pool_.Clock_.now();
  Queue.Jobs_.insert(&Job);
}

void ShareTracker::endTurn(CustomerQueue &Queue) {
  Queue.Turn_ = nullptr;
  Queue.NextTurn_ = Pool_.Clock_.now() + TurnPause;
}

bool ShareTracker::onStarted(WaitingJob &Job, const Resources &Started) {
  if (!Job.IsCounted_)
    return false;
  CustomerQueue &Queue = Queues_[customerOf(Job)];
  Queue.IsRefused_ = false;
  if (Queue.Turn_ == &Job)
    endTurn(Queue);
  restartWait(Queue, Job);
  return !customerOf(Job).empty() && Order_.addStart(customerOf(Job), Started);
}

void ShareTracker::onRefused(const std::string &Customer) {
  auto Found = Queues_.find(Customer);
  if (Found != Queues_.end())
    Found->second.IsRefused_ = true;
}

void ShareTracker::updateWeights() {
  if (LastConfiguration_ == Pool_.Configuration_)
    return;
  LastConfiguration_ = Pool_.Configuration_;
  Weights_.clear();
  if (!LastConfiguration_)
    return;
  for (const Customer &Each : LastConfiguration_->Customers_)
    Weights_[Each.Name_] = Each.Weight_;
}

void ShareTracker::updateOrder() {
  Loads_.clear();
  auto AddLoad = [this](const std::string &Name, const Resources &Waiting) {
    // Jobs of a customer that is no longer configured run to their end.
    auto Weight = Weights_.find(Name);
    Loads_.push_back({Name, Weight == Weights_.end() ? 1 : Weight->second,
                      Pool_.Usage_.of(Name), Waiting});
  };
  for (const auto &[Name, Queue] : Queues_)
    if (!Name.empty() && !Queue.Jobs_.empty())
      AddLoad(Name, Queue.IsRefused_ ? Resources() : Queue.Needed_);
  for (const auto &[Name, Running] : Pool_.Usage_.all()) {
    auto Queue = Queues_.find(Name);
    if (Queue == Queues_.end() || Queue->second.Jobs_.empty())
      AddLoad(Name, {});
  }
  Resources Capacity;
  for (const auto &[Lifetime, Session] : Pool_.Sessions_)
    if (Session->IsListed_)
      Capacity += Session->entry().Capacity_;
  Order_.update(Loads_, Capacity, Pool_.Clock_.now());
}

void ShareTracker::updateTurn(const std::string &Customer,
                              CustomerQueue &Queue) {
  const TimePoint Now = Pool_.Clock_.now();
  if (Queue.Turn_ != nullptr && Now >= Queue.TurnEnds_) {
    WaitingJob &Job = *Queue.Turn_;
    endTurn(Queue);
    restartWait(Queue, Job);
  }
  const bool MayBeOvertaken =
      Pool_.Settings_.RefusesUnderPressure_ || isOverShare(Customer);
  if (!MayBeOvertaken || Queue.Turn_ != nullptr || Queue.Jobs_.empty() ||
      Now < Queue.NextTurn_)
    return;
  WaitingJob *Oldest = *Queue.Jobs_.begin();
  if (Now < Oldest->Since_ + MaxOvertaking)
    return;
  Queue.Turn_ = Oldest;
  Queue.TurnEnds_ = Now + MaxTurn;
}

bool ShareTracker::isPoolFull() const {
  const TimePoint Now = Pool_.Clock_.now();
  return std::any_of(Queues_.begin(), Queues_.end(), [Now](const auto &Each) {
    const CustomerQueue &Queue = Each.second;
    return !Queue.IsRefused_ && !Queue.Jobs_.empty() &&
           Now >= (*Queue.Jobs_.begin())->Since_ + FullPoolWait;
  });
}

void ShareTracker::logShare(const std::string &Customer, CustomerQueue &Queue,
                            bool IsPoolFull) {
  const TimePoint Now = Pool_.Clock_.now();
  const ShareOrder::Share Share = Order_.shareOf(Customer);
  if (IsPoolFull && Share.IsExceeded_ &&
      Share.Used_ > LoggedExcess * Share.Fair_)
    Queue.LastOver_ = Now;
  const bool IsOver =
      Queue.LastOver_ != TimePoint() && Now < Queue.LastOver_ + LogInterval;
  if (IsOver == Queue.IsLoggedOver_ || Now < Queue.NextLog_)
    return;
  Queue.IsLoggedOver_ = IsOver;
  Queue.NextLog_ = Now + LogInterval;
  Pool_.Logger_.write(
      LogLevel::Info,
      LogEvent("share.exceeded")
          .with("pool", Pool_.Pool_)
          .with("customer", Customer)
          .with("state", IsOver ? "over" : "within")
          .with("resource", Order_.scarcestResource())
          .with("used", rounded(Share.Used_))
          .with("fair", rounded(Share.Fair_))
          .with("waiting-jobs", std::uint64_t{Queue.Jobs_.size()}));
}

void ShareTracker::update() {
  const TimePoint Now = Pool_.Clock_.now();
  if (Now < NextUpdate_ ||
      (Queues_.empty() && Pool_.Usage_.all().empty() && Loads_.empty()))
    return;
  NextUpdate_ = Now + UpdateInterval;
  updateWeights();
  updateOrder();
  const bool IsFull = isPoolFull();
  for (auto &[Customer, Queue] : Queues_) {
    updateTurn(Customer, Queue);
    if (!Customer.empty())
      logShare(Customer, Queue, IsFull);
  }
  std::erase_if(Queues_, [Now](const auto &Each) {
    const CustomerQueue &Queue = Each.second;
    return Queue.Jobs_.empty() && !Queue.IsLoggedOver_ &&
           Now >= Queue.NextTurn_ && Now >= Queue.NextLog_;
  });
}

bool ShareTracker::hasTurn(const ActiveJob &Job) const {
  auto Found = Queues_.find(Job.submission().Spec_.Customer_);
  return Found != Queues_.end() && Found->second.Turn_ != nullptr &&
         Found->second.Turn_->Job_ == &Job;
}

void ShareTracker::forEachTurn(const TurnVisitor &Visit) const {
  for (const auto &[Customer, Queue] : Queues_)
    if (Queue.Turn_ != nullptr)
      Visit(Customer, *Queue.Turn_->Job_);
}

} // namespace dragonflylock
