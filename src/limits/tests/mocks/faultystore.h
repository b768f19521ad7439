#ifndef DRAGONFLYLOCK_LIMITS_TESTS_MOCKS_FAULTYSTORE_H
#define DRAGONFLYLOCK_LIMITS_TESTS_MOCKS_FAULTYSTORE_H

#include "scheduling/istore.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace dragonflylock {

/// A store that applies transactions late, in any order, and loses responses.
/// Each call gets exactly one response.
class FaultyStore : public IStore {
public:
  explicit FaultyStore(std::uint64_t Seed) : Random_(Seed) {}

  void transact(StoreTransaction Wanted, TransactionCallback Done) override {
    ++Calls_;
    Arrivals_.push_back({std::move(Wanted), std::move(Done)});
  }
  void readRange(const std::string &, const std::string &, const std::string &,
                 const std::string &, std::size_t, RangeCallback) override {}
  void awaitChanges(const std::string &, StoreVersion,
                    std::chrono::milliseconds, ChangesCallback) override {}

  /// Plays one step of time.
  void step() {
    std::vector<Call> Now = std::exchange(Arrivals_, {});
    for (Call &Each : Now)
      receive(std::move(Each));
    std::shuffle(Late_.begin(), Late_.end(), Random_);
    runDue(Late_);
    runDue(Responses_);
  }
  /// \returns whether an event of this probability happens.
  bool happens(unsigned Percent) { return below(100) < Percent; }
  std::size_t below(std::size_t Bound) { return Random_() % Bound; }

  /// Probability of each kind of fault for a call, in percent.
  unsigned FaultPercent_ = 10;
  std::size_t Calls_ = 0;
  StoreVersion Version_ = 0;
  std::map<StoreKey, StoreRow> Rows_;

private:
  struct Call {
    StoreTransaction Wanted_;
    TransactionCallback Done_;
  };
  /// Something that happens after a number of steps.
  struct Event {
    std::size_t Steps_ = 0;
    std::function<void()> Run_;
  };
  static constexpr std::size_t MostSteps = 10;
  static constexpr std::size_t MostLateSteps = 100;

  void receive(Call Made) {
    StoreTransactionResult Result;
    if (happens(FaultPercent_)) {
      Result.Outcome_ = StoreOutcome::NotDone;
    } else if (happens(FaultPercent_)) {
      // Answered as unknown, and applied afterwards or never.
      if (happens(70))
        Late_.push_back({below(MostLateSteps),
                         [this, Wanted = Made.Wanted_] { apply(Wanted); }});
    } else {
      Result = apply(Made.Wanted_);
      if (happens(FaultPercent_))
        Result = {StoreOutcome::Unknown, 0, {}};
    }
    const std::size_t Delay = FaultPercent_ > 0 ? below(MostSteps) : 0;
    Responses_.push_back(
        {Delay, [Result, Done = std::move(Made.Done_)] { Done(Result); }});
  }
  StoreTransactionResult apply(const StoreTransaction &Wanted) {
    StoreTransactionResult Result;
    bool Holds = true;
    for (const StoreExpectation &Each : Wanted.Expected_) {
      auto Found = Rows_.find(Each.Name_);
      Holds = Holds && Each.Version_ ==
                           (Found == Rows_.end() ? 0 : Found->second.Version_);
      if (Found != Rows_.end())
        Result.Current_.push_back(Found->second);
    }
    Result.Outcome_ =
        Holds ? StoreOutcome::Done : StoreOutcome::ConditionFailed;
    if (!Holds)
      return Result;
    Result.Current_.clear();
    Result.Version_ = ++Version_;
    for (const StorePut &Each : Wanted.Puts_)
      Rows_[Each.Name_] = {Each.Name_, Each.Value_, Version_, false};
    return Result;
  }
  static void runDue(std::vector<Event> &Events) {
    std::vector<Event> Rest;
    for (Event &Each : std::exchange(Events, {})) {
      if (Each.Steps_ == 0) {
        Each.Run_();
      } else {
        --Each.Steps_;
        Rest.push_back(std::move(Each));
      }
    }
    Events.insert(Events.end(), std::make_move_iterator(Rest.begin()),
                  std::make_move_iterator(Rest.end()));
  }

  std::mt19937_64 Random_;
  std::vector<Call> Arrivals_;
  std::vector<Event> Late_;
  std::vector<Event> Responses_;
};

} // namespace dragonflylock

#endif
