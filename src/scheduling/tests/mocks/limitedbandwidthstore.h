#ifndef DRAGONFLYLOCK_SCHEDULING_TESTS_MOCKS_LIMITEDBANDWIDTHSTORE_H
#define DRAGONFLYLOCK_SCHEDULING_TESTS_MOCKS_LIMITEDBANDWIDTHSTORE_H

#include "global/tests/mocks/manualclock.h"
#include "scheduling/tests/mocks/fakefleet.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace dragonflylock {

/// A store behind a link that transfers RowsPerCall_ rows within the timeout of
/// a call. The reads in flight share the link; those that are too large for
/// their share time out.
class LimitedBandwidthStore : public InstantStore {
public:
  struct Page {
    StoreKey From_;
    std::size_t MaxRows_ = 0;
    RangeCallback Done_;
  };
  struct Wait {
    std::string Table_;
    StoreVersion After_ = 0;
    std::chrono::milliseconds Timeout_{0};
    ChangesCallback Done_;
  };

  explicit LimitedBandwidthStore(ManualClock &Clock) : Clock_(Clock) {}

  void readRange(const std::string &Table, const std::string &Part,
                 const std::string &From, const std::string &,
                 std::size_t MaxRows, RangeCallback Done) override {
    Pages_.push_back({{Table, Part, From}, MaxRows, std::move(Done)});
  }
  void awaitChanges(const std::string &Table, StoreVersion After,
                    std::chrono::milliseconds Timeout,
                    ChangesCallback Done) override {
    Waits_.push_back({Table, After, Timeout, std::move(Done)});
  }
  /// Adds a row with an arbitrary value.
  void add(const StoreKey &Name) {
    Rows_[Name] = {Name, "value", ++Version_, false};
  }
  /// Completes the reads in flight after the time that transferring their rows
  /// takes.
  void completeReads() {
    std::vector<Page> Completed = std::exchange(Pages_, {});
    std::vector<StoreRange> Answers;
    std::chrono::milliseconds Time = MinLatency;
    for (const Page &Each : Completed) {
      StoreRange Read = pageOf(Each);
      std::size_t Share = Read.Rows_.size() * Completed.size();
      if (Share > RowsPerCall_) {
        Time = CallTimeout;
        ++TimedOutReads_;
        Read = StoreRange();
      } else if (Share > 0) {
        Time = std::max<std::chrono::milliseconds>(
            Time, CallTimeout * static_cast<int>(Share) /
                      static_cast<int>(RowsPerCall_));
      }
      Answers.push_back(std::move(Read));
    }
    Clock_.advance(Time);
    for (std::size_t Number = 0; Number < Completed.size(); ++Number)
      Completed[Number].Done_(Answers[Number]);
    Calls_ += Completed.size();
  }

  std::size_t RowsPerCall_ = 1000000;
  std::size_t Calls_ = 0;
  std::size_t TimedOutReads_ = 0;
  std::vector<Page> Pages_;
  std::vector<Wait> Waits_;

private:
  StoreRange pageOf(const Page &Requested) const {
    StoreRange Read;
    Read.Outcome_ = StoreOutcome::Done;
    Read.Version_ = Version_;
    for (auto Each = Rows_.lower_bound(Requested.From_); Each != Rows_.end();
         ++Each) {
      if (Each->first.Table_ != Requested.From_.Table_ ||
          Each->first.Part_ != Requested.From_.Part_)
        break;
      if (Read.Rows_.size() == Requested.MaxRows_) {
        Read.HasMore_ = true;
        break;
      }
      Read.Rows_.push_back(Each->second);
    }
    return Read;
  }

  static constexpr std::chrono::milliseconds MinLatency{10};
  static constexpr std::chrono::milliseconds CallTimeout{1000};

  ManualClock &Clock_;
};

} // namespace dragonflylock

#endif
