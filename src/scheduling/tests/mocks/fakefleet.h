#ifndef DRAGONFLYLOCK_SCHEDULING_TESTS_MOCKS_FAKEFLEET_H
#define DRAGONFLYLOCK_SCHEDULING_TESTS_MOCKS_FAKEFLEET_H

#include "global/ilogger.h"
#include "global/logevent.h"
#include "global/tests/mocks/manualclock.h"
#include "scheduling/iadvisor.h"
#include "scheduling/imachinecontrol.h"
#include "scheduling/istore.h"
#include "scheduling/iworkercontrol.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dragonflylock {

class SilentLogger : public ILogger {
public:
  void write(LogLevel, const LogEvent &) override {}
};

/// Keeps the names and lines of the events that were logged.
class EventRecorder : public ILogger {
public:
  void write(LogLevel, const LogEvent &Event) override {
    Events_.push_back(Event.name());
    Lines_.push_back(Event.line());
  }

  std::vector<std::string> Events_;
  std::vector<std::string> Lines_;
};

/// An in-memory store that responds synchronously, unless a test delays the
/// responses.
class InstantStore : public IStore {
public:
  void transact(StoreTransaction Wanted, TransactionCallback Done) override {
    for (const StorePut &Each : Wanted.Puts_)
      ++Calls_[Each.Name_];
    if (Outcome_ != StoreOutcome::Done) {
      Done({Outcome_, 0, {}});
      return;
    }
    if (LosesNextWriteOf_ && !Wanted.Puts_.empty() &&
        Wanted.Puts_.front().Name_ == *LosesNextWriteOf_) {
      LosesNextWriteOf_.reset();
      LateWrites_.push_back(std::move(Wanted));
      Done({StoreOutcome::Unknown, 0, {}});
      return;
    }
    std::size_t Bytes = 0;
    for (const StorePut &Each : Wanted.Puts_)
      Bytes += Each.Value_.size();
    if (Wanted.Puts_.size() > MostPuts_ || Bytes > MostBytes_) {
      bool IsRefused = Bytes > MostBytes_;
      Done({IsRefused ? StoreOutcome::NotDone : StoreOutcome::Unknown, 0, {}});
      return;
    }
    StoreTransactionResult End = apply(Wanted);
    End.Now_ = storeTime();
    if (DelaysResponses_)
      DelayedResponses_.push_back([End, Done = std::move(Done)] { Done(End); });
    else
      Done(End);
  }
  StoreTransactionResult apply(const StoreTransaction &Wanted) {
    StoreTransactionResult End;
    bool Holds = true;
    for (const StoreExpectation &Each : Wanted.Expected_) {
      auto Found = Rows_.find(Each.Name_);
      Holds = Holds && (Found == Rows_.end() ? 0 : Found->second.Version_) ==
                           Each.Version_;
      if (Found != Rows_.end())
        End.Current_.push_back(Found->second);
    }
    End.Outcome_ = Holds ? StoreOutcome::Done : StoreOutcome::ConditionFailed;
    if (Holds) {
      End.Current_.clear();
      End.Version_ = ++Version_;
      for (const StorePut &Each : Wanted.Puts_)
        Rows_[Each.Name_] = {Each.Name_, Each.Value_, Version_, false};
      for (const StoreKey &Each : Wanted.Removals_)
        Rows_.erase(Each);
    }
    return End;
  }
  std::optional<std::chrono::milliseconds> storeTime() const {
    if (Clock_ == nullptr)
      return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        Clock_->now().time_since_epoch());
  }
  /// Applies the writes that were lost, if their conditions still hold.
  void applyLateWrites() {
    for (const StoreTransaction &Late : std::exchange(LateWrites_, {}))
      apply(Late);
  }
  /// Delivers the delayed responses, and responds synchronously from then on.
  void release() {
    DelaysResponses_ = false;
    for (const auto &Answer : std::exchange(DelayedResponses_, {}))
      Answer();
  }
  void readRange(const std::string &Table, const std::string &Part,
                 const std::string &From, const std::string &To,
                 std::size_t Most, RangeCallback Done) override {
    ++Calls_[{Table, Part, From}];
    StoreRange Read;
    Read.Outcome_ = Outcome_;
    Read.Version_ = Version_;
    Read.Now_ = storeTime();
    for (const auto &[Name, Row] : Rows_)
      if (Name.Table_ == Table && Name.Part_ == Part && Name.Key_ >= From &&
          (To.empty() || Name.Key_ < To)) {
        Read.HasMore_ = Read.Rows_.size() == Most;
        if (Read.HasMore_)
          break;
        Read.Rows_.push_back(Row);
      }
    Done(Read);
  }
  void awaitChanges(const std::string &Table, StoreVersion After,
                    std::chrono::milliseconds, ChangesCallback Done) override {
    Waits_.push_back({Table, After, std::move(Done)});
  }
  /// Responds to the calls that wait for changes, if there are any.
  void deliverChanges() {
    for (Wait &Each : std::exchange(Waits_, {})) {
      StoreChanges Changes;
      Changes.Outcome_ = StoreOutcome::Done;
      Changes.Version_ = Version_;
      for (const auto &[Name, Row] : Rows_)
        if (Name.Table_ == Each.Table_ && Row.Version_ > Each.After_)
          Changes.Rows_.push_back(Row);
      if (Changes.Rows_.empty())
        Waits_.push_back(std::move(Each));
      else
        Each.Done_(Changes);
    }
  }

  /// A call that waits for changes.
  struct Wait {
    std::string Table_;
    StoreVersion After_ = 0;
    ChangesCallback Done_;
  };
  std::vector<Wait> Waits_;
  /// Whether responses to transactions are delayed until release().
  bool DelaysResponses_ = false;
  std::vector<std::function<void()>> DelayedResponses_;
  /// The next transaction that writes this row first gets no response and is
  /// kept until applyLateWrites().
  std::optional<StoreKey> LosesNextWriteOf_;
  std::vector<StoreTransaction> LateWrites_;
  /// Number of calls by the row that is written, or the key from which rows
  /// are read; includes failed calls.
  std::map<StoreKey, std::size_t> Calls_;
  /// Transactions with more rows end with an unknown outcome.
  std::size_t MostPuts_ = std::numeric_limits<std::size_t>::max();
  /// Transactions with more bytes are refused.
  std::size_t MostBytes_ = std::numeric_limits<std::size_t>::max();
  /// The clock that responses tell; null for none.
  const IClock *Clock_ = nullptr;
  /// Outcome of every call. Done unless a test simulates a failure.
  StoreOutcome Outcome_ = StoreOutcome::Done;
  StoreVersion Version_ = 0;
  std::map<StoreKey, StoreRow> Rows_;
};

/// Records each order to a worker until the test responds to it.
class RecordingWorkers : public IWorkerControl {
public:
  struct Start {
    WorkerTarget Target_;
    StartOrder Order_;
    OrderCallback Done_;
  };
  struct Stop {
    WorkerTarget Target_;
    TaskName Task_;
    OrderCallback Done_;
  };
  struct Pace {
    std::uint32_t Percent_;
    OrderCallback Done_;
  };
  struct Hold {
    WorkerTarget Target_;
    HoldOrder Order_;
    HoldCallback Done_;
  };

  void start(const WorkerTarget &Target, const StartOrder &Order,
             OrderCallback Done) override {
    Starts_.push_back({Target, Order, std::move(Done)});
  }
  void stop(const WorkerTarget &Target, const TaskName &Task, RunNumber,
            FencingToken, OrderCallback Done) override {
    Stops_.push_back({Target, Task, std::move(Done)});
  }
  void hold(const WorkerTarget &Target, const HoldOrder &Order,
            HoldCallback Done) override {
    Holds_.push_back({Target, Order, std::move(Done)});
  }
  void pace(const WorkerTarget &, const TaskName &, RunNumber,
            std::uint32_t Percent, FencingToken, OrderCallback Done) override {
    Paces_.push_back({Percent, std::move(Done)});
  }

  /// Removes and returns the oldest hold order without a response.
  Hold takeHold() {
    Hold First = std::move(Holds_.front());
    Holds_.pop_front();
    return First;
  }
  Start takeStart() {
    Start First = std::move(Starts_.front());
    Starts_.pop_front();
    return First;
  }

  std::deque<Start> Starts_;
  std::deque<Stop> Stops_;
  std::deque<Pace> Paces_;
  std::deque<Hold> Holds_;
};

/// Records each call to the advice service until the test responds to it.
class RecordingAdvisor : public IAdvisor {
public:
  struct Call {
    std::string Step_;
    std::vector<std::string> Workers_;
    Done Answer_;
  };
  void advise(const std::string &Step, const std::vector<std::string> &Workers,
              Done Answer) override {
    Calls_.push_back({Step, Workers, std::move(Answer)});
  }
  std::deque<Call> Calls_;
};

/// Machines that accept every order, unless a test sets another outcome.
class AcceptingMachines : public IMachineControl {
public:
  struct Move {
    MachineOrder Order_;
    std::string Pool_;
  };

  void list(ListDone Done) override {
    if (DelaysLists_)
      DelayedLists_.push_back(std::move(Done));
    else
      Done(List_);
  }
  /// Delivers the delayed lists, and responds synchronously from then on.
  void releaseLists() {
    DelaysLists_ = false;
    for (const ListDone &Done : std::exchange(DelayedLists_, {}))
      Done(List_);
  }
  void maintain(const MachineOrder &Order, std::uint64_t,
                OrderDone Done) override {
    Orders_.push_back(Order);
    if (!IsSilent_)
      Done(MachineOutcome::Accepted);
  }
  void move(const MachineOrder &Order, const std::string &Pool,
            OrderDone Done) override {
    Moves_.push_back({Order, Pool});
    Done(MoveOutcome_);
  }
  void reportWave(std::uint64_t Wave, bool IsCompleted,
                  ReportDone Done) override {
    ++Reports_;
    if (IsCompleted && AreReportsStored_)
      CompletedWaves_.insert(Wave);
    Done(AreReportsStored_);
  }

  MachineList List_;
  /// Whether responses to requests for the list wait for releaseLists().
  bool DelaysLists_ = false;
  std::vector<ListDone> DelayedLists_;
  /// Whether maintenance orders get no response.
  bool IsSilent_ = false;
  std::vector<MachineOrder> Orders_;
  std::vector<Move> Moves_;
  bool AreReportsStored_ = true;
  /// Number of reports of waves, including those that were not stored.
  std::uint32_t Reports_ = 0;
  /// Waves that were reported as completed.
  std::set<std::uint64_t> CompletedWaves_;
  MachineOutcome MoveOutcome_ = MachineOutcome::Accepted;
};

} // namespace dragonflylock

#endif
