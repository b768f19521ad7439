#ifndef DRAGONFLYLOCK_LIMITS_TESTS_MOCKS_LIMITFLEET_H
#define DRAGONFLYLOCK_LIMITS_TESTS_MOCKS_LIMITFLEET_H

#include "customers/customerusage.h"
#include "customers/icustomerlimits.h"
#include "global/tests/mocks/manualclock.h"
#include "limits/grantrow.h"
#include "limits/limitledger.h"
#include "scheduling/controlrows.h"
#include "scheduling/schedulingsettings.h"
#include "scheduling/tests/mocks/fakefleet.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dragonflylock {

/// The ledger of one node, and the runs of its pools.
class LimitNode {
public:
  struct Pool {
    FencingToken Token_ = 0;
    ICustomerLimits *Limits_ = nullptr;
    std::unique_ptr<CustomerUsage> Usage_;
    /// Running tasks, by customer.
    std::map<std::string, std::vector<Resources>> Runs_;
  };

  LimitNode(IStore &Store, const IClock &Clock, ILogger &Logger)
      : Clock_(Clock), Ledger_(LimitLedger::create(SchedulingSettings(), Store,
                                                   Clock, Logger)) {}

  /// \param Runs what previous owners left running.
  void acquire(const std::string &Name, FencingToken Token,
               std::map<std::string, std::vector<Resources>> Runs = {}) {
    Pool &Made = Pools_[Name];
    Made.Token_ = Token;
    Made.Limits_ = Ledger_->onPoolAcquired(Name, Token);
    Made.Usage_ = std::make_unique<CustomerUsage>();
    Made.Runs_ = std::move(Runs);
    for (const auto &[Customer, Each] : Made.Runs_)
      record(Made, Customer);
  }
  /// \returns what the pool still runs.
  std::map<std::string, std::vector<Resources>> lose(const std::string &Name) {
    Ledger_->onPoolLost(Name);
    auto Runs = std::move(Pools_.at(Name).Runs_);
    Pools_.erase(Name);
    return Runs;
  }
  /// Starts a task if the limit admits it.
  bool start(const std::string &Name, const std::string &Customer,
             const Resources &Task) {
    Pool &Of = Pools_.at(Name);
    if (!Of.Limits_->mayStart(Customer, Of.Usage_->of(Customer), Task))
      return false;
    Of.Runs_[Customer].push_back(Task);
    record(Of, Customer);
    return true;
  }
  /// \returns whether the limit admits a gang, which is not started.
  bool mayStartGang(const std::string &Name, const std::string &Customer,
                    const Resources &Task, std::size_t Tasks) {
    Pool &Of = Pools_.at(Name);
    return Of.Limits_->mayStartGang(Customer, Of.Usage_->of(Customer), Task,
                                    Tasks);
  }
  /// Starts tasks until the limit refuses one.
  /// \returns the number of started tasks.
  std::size_t startUpTo(std::size_t Most, const std::string &Name,
                        const std::string &Customer, const Resources &Task) {
    std::size_t Started = 0;
    while (Started < Most && start(Name, Customer, Task))
      ++Started;
    return Started;
  }
  void end(const std::string &Name, const std::string &Customer,
           std::size_t Tasks) {
    Pool &Of = Pools_.at(Name);
    auto &Runs = Of.Runs_[Customer];
    while (Tasks-- > 0 && !Runs.empty())
      Runs.pop_back();
    record(Of, Customer);
  }
  std::size_t running(const std::string &Name, const std::string &Customer) {
    return Pools_.at(Name).Runs_[Customer].size();
  }
  /// \returns what the node's pools run for the customer.
  Resources sum(const std::string &Customer) const {
    Resources Sum;
    for (const auto &[Name, Of] : Pools_)
      Sum += Of.Usage_->of(Customer);
    return Sum;
  }
  void tick() {
    for (const auto &[Name, Of] : Pools_)
      Ledger_->onUsage(Name, *Of.Usage_, /*IsExact=*/true);
    Ledger_->tick(IsFollowing_ ? Clock_.now() : TimePoint());
  }

  const IClock &Clock_;
  std::shared_ptr<LimitLedger> Ledger_;
  std::map<std::string, Pool> Pools_;
  /// Newest version whose row the node was given.
  StoreVersion Delivered_ = 0;
  /// Whether the node receives rows.
  bool IsFollowing_ = true;

private:
  static void record(Pool &Of, const std::string &Customer) {
    Resources Sum;
    for (const Resources &Each : Of.Runs_[Customer])
      Sum += Each;
    Of.Usage_->set("job-of-" + Customer, Customer, Sum);
  }
};

/// Passes rows that are new to a node on to it, in the order of their versions.
inline void deliverRows(LimitNode &To, const std::map<StoreKey, StoreRow> &Rows,
                        StoreVersion UpTo) {
  std::map<StoreVersion, const StoreRow *> New;
  for (const auto &[Name, Row] : Rows)
    if (Row.Version_ > To.Delivered_ && Row.Version_ <= UpTo)
      New[Row.Version_] = &Row;
  for (const auto &[Version, Row] : New) {
    To.Ledger_->onControlRow(*Row);
    To.Delivered_ = Version;
  }
}

inline SchedulingConfiguration
limitsOf(std::uint64_t Version, const std::map<std::string, Resources> &Limits,
         const std::vector<std::string> &Pools) {
  SchedulingConfiguration Made;
  Made.Version_ = Version;
  for (const auto &[Name, Limit] : Limits) {
    Customer Each;
    Each.Name_ = Name;
    Each.Limit_ = Limit;
    Made.Customers_.push_back(Each);
  }
  for (const std::string &Pool : Pools)
    Made.Pools_.push_back({Pool, true, false});
  return Made;
}

} // namespace dragonflylock

#endif
