#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_ADVICEKEEPER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_ADVICEKEEPER_H

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

/// Keeps what the advice service said of each step: which workers may run it,
/// and their tickets. Makes one call at a time, since the service answers a
/// node's calls one after the other.
class AdviceKeeper : public std::enable_shared_from_this<AdviceKeeper> {
public:
  AdviceKeeper(PoolState &Pool, IAdvisor &Advisor)
      : Pool_(Pool), Advisor_(Advisor) {}

  /// \returns whether the job's queue has a policy to ask about.
  bool isNeededFor(const ActiveJob &Job) const;
  /// \returns a valid ticket for the task's step; empty where there is none.
  std::string ticketFor(const TaskName &Name,
                        const WorkerSession &Session) const;
  /// \returns whether the service said that the worker must not run the step.
  bool isForbidden(const TaskName &Name, const WorkerSession &Session) const;
  /// Asks about the first of \p Sessions unless a call is under way.
  void ask(const TaskName &Name, const std::vector<WorkerSession *> &Sessions);
  /// Forgets a ticket that a worker refused.
  void drop(const TaskName &Name, const std::string &Lifetime);
  /// Forgets the steps of jobs that have ended.
  void forgetEnded();

private:
  struct Verdict {
    bool IsAllowed_ = false;
    std::string Ticket_;
    TimePoint ValidUntil_;
  };
  /// By lifetime of the worker.
  using Verdicts = std::map<std::string, Verdict>;

  void onAnswer(const std::string &Step,
                const std::map<std::string, std::string> &LifetimeOfId,
                TimePoint Sent, const Advice &Answer);
  const Verdict *verdictOn(const TaskName &Name,
                           const WorkerSession &Session) const;

  PoolState &Pool_;
  IAdvisor &Advisor_;
  bool IsAsking_ = false;
  TimePoint NextCall_;
  std::map<std::string, Verdicts> Steps_;
};

} // namespace dragonflylock

#endif
