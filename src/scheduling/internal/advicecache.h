#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_ADVICECACHE_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_ADVICECACHE_H

#include "global/iclock.h"
#include "scheduling/schedulingtypes.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dragonflylock {

class ActiveJob;
class IAdvisor;
class WorkerSession;
struct Advice;
struct PoolState;

/// Caches the advice service's response for each step: which workers may run
/// it, and their tickets. Makes one call at a time, since the service processes
/// a node's calls one after the other.
class AdviceCache : public std::enable_shared_from_this<AdviceCache> {
public:
  AdviceCache(PoolState &Pool, IAdvisor &Advisor)
      : Pool_(Pool), Advisor_(Advisor) {}

  /// \returns whether the policy of the job's queue requires advice.
  bool isNeededFor(const ActiveJob &Job) const;
  /// \returns a valid ticket for the task's step; empty if there is none.
  std::string ticketFor(const TaskName &Name,
                        const WorkerSession &Session) const;
  /// \returns whether the service does not allow the worker to run the step;
  /// false while there is no advice on the worker.
  bool isForbidden(const TaskName &Name, const WorkerSession &Session) const;
  /// Requests advice on the first of \p Sessions, unless a call is in flight or
  /// has failed shortly before.
  void requestAdvice(const TaskName &Name,
                     const std::vector<WorkerSession *> &Sessions);
  /// Removes a ticket that a worker refused, so that it is requested again.
  void invalidateTicket(const TaskName &Name, const std::string &Lifetime);
  /// Removes the advice on the steps of jobs that have ended.
  void removeAdviceOfEndedJobs();

private:
  struct WorkerAdvice {
    bool IsAllowed_ = false;
    std::string Ticket_;
    TimePoint ValidUntil_;
  };
  /// By worker lifetime.
  using AdviceByLifetime = std::map<std::string, WorkerAdvice>;

  void onAnswer(const std::string &Step,
                const std::map<std::string, std::string> &LifetimeOfId,
                TimePoint Sent, const Advice &Answer);
  const WorkerAdvice *adviceFor(const TaskName &Name,
                                const WorkerSession &Session) const;

  PoolState &Pool_;
  IAdvisor &Advisor_;
  bool IsCallInFlight_ = false;
  TimePoint NextCall_;
  std::map<std::string, AdviceByLifetime> AdviceByStep_;
};

} // namespace dragonflylock

#endif
