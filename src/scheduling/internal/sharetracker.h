#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_SHARETRACKER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_SHARETRACKER_H

#include "global/resources.h"
#include "scheduling/internal/waitingjob.h"
#include "sharing/shareorder.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dragonflylock {

class ActiveJob;
struct PoolState;
struct SchedulingConfiguration;

/// Follows what each customer runs in a pool and waits for, and decides which
/// customers go after the others. Addresses customers that send many times
/// their usual load.
///
/// Within one priority class, jobs of customers above their share go last. So
/// that none of them waits without bound, each customer has a turn from time to
/// time: the job that has waited longest, for at least MaxOvertaking, counts as
/// one of a customer within its share. If turns had no minimum interval, all
/// jobs of a customer with a long backlog would have one, and the shares would
/// have no effect under exactly the load that they are for.
class ShareTracker {
public:
  using TurnVisitor =
      std::function<void(const std::string &Customer, ActiveJob &Job)>;

  explicit ShareTracker(PoolState &Pool) : Pool_(Pool) {}
  ShareTracker(const ShareTracker &) = delete;
  ShareTracker &operator=(const ShareTracker &) = delete;

  /// \returns whether the job's waits are counted. Where there are no customers
  /// and no jobs are refused under pressure, none are.
  bool isCounted(const ActiveJob &Job) const;
  /// Records that the job has startable tasks.
  /// \param Needed sum of what they need.
  void add(WaitingJob &Job, const Resources &Needed);
  /// Records that the job has no startable tasks.
  void remove(WaitingJob &Job);
  /// Called when a task of the job is started.
  /// \returns whether the order of the customers has changed.
  bool onStarted(WaitingJob &Job, const Resources &Started);
  /// Called when the customer's limit has refused a start. Until its next start
  /// its waiting work claims no share.
  void onRefused(const std::string &Customer);
  /// Updates the shares and the turns, at most once per UpdateInterval.
  void update();
  bool isOverShare(const std::string &Customer) const {
    return !Customer.empty() && Order_.shareOf(Customer).IsExceeded_;
  }
  /// \returns whether it is the job's turn.
  bool hasTurn(const ActiveJob &Job) const;
  /// Calls \p Visit for each customer whose job has its turn. The customer is
  /// empty for jobs without one.
  void forEachTurn(const TurnVisitor &Visit) const;

private:
  struct BySince {
    bool operator()(const WaitingJob *Left, const WaitingJob *Right) const;
  };
  struct CustomerQueue {
    std::set<WaitingJob *, BySince> Jobs_;
    Resources Needed_;
    bool IsRefused_ = false;
    /// The job that has its turn, or null.
    WaitingJob *Turn_ = nullptr;
    TimePoint TurnEnds_;
    TimePoint NextTurn_;
    /// Whether the last log line said that the share is exceeded.
    bool IsLoggedOver_ = false;
    /// When the share was last clearly exceeded in a full pool.
    TimePoint LastOver_;
    TimePoint NextLog_;
  };

  void updateWeights();
  void updateOrder();
  void updateTurn(const std::string &Customer, CustomerQueue &Queue);
  /// Ends the customer's turn; the next one begins after a pause.
  void endTurn(CustomerQueue &Queue);
  void restartWait(CustomerQueue &Queue, WaitingJob &Job);
  /// \returns whether a job of any customer waits although no limit refuses it.
  bool isPoolFull() const;
  void logShare(const std::string &Customer, CustomerQueue &Queue,
                bool IsPoolFull);

  PoolState &Pool_;
  ShareOrder Order_;
  /// By customer. Queues without jobs are kept for as long as a pause between
  /// turns or a log line needs them.
  std::map<std::string, CustomerQueue> Queues_;
  std::map<std::string, std::uint64_t> Weights_;
  std::shared_ptr<const SchedulingConfiguration> LastConfiguration_;
  /// A member only to keep its memory.
  std::vector<CustomerLoad> Loads_;
  TimePoint NextUpdate_;
};

} // namespace dragonflylock

#endif
