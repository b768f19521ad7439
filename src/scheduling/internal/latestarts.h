#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_LATESTARTS_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_LATESTARTS_H

#include "global/iclock.h"
#include "scheduling/controlrows.h"
#include "scheduling/schedulingtypes.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace dragonflylock {

class WorkerSession;
struct Machine;
struct PoolState;

/// Start orders without a response that may still be carried out. A worker that
/// comes back under its id takes a start for its former lifetime as its own, so
/// the task is started nowhere else until the start can no longer arrive and no
/// lifetime of the id can be running it.
class LateStarts {
public:
  explicit LateStarts(PoolState &Pool) : Pool_(Pool) {}

  /// Makes the task wait.
  /// \param Worker id of the worker that the start was sent to.
  /// \param Number the run that the start orders; 0 if it is not known.
  /// \param Machine machine of that worker; empty if it is not known.
  /// \param LatestArrival time until which the start may be carried out.
  void add(const std::string &Worker, const TaskName &Task, RunNumber Number,
           const std::string &Machine, TimePoint LatestArrival);
  /// Called when a lifetime of \p Worker has listed the run or its end, so that
  /// the start has been carried out.
  void onListed(const std::string &Worker, const TaskName &Task,
                RunNumber Number);
  /// Takes over what the previous owner has stored.
  /// \param MadeAt time by which that owner had certainly made the row.
  void inherit(const LateStartsRow &Row, TimePoint MadeAt);
  /// Makes the inherited tasks wait. Call it when the jobs have been loaded.
  void onLoaded();
  /// Lets the tasks start whose starts can no longer be carried out.
  void update();
  /// Lets the tasks start whose worker has left its machine for good.
  /// \param ListedAt when the list of the machines was requested.
  void onMachines(const std::map<std::string, Machine> &Machines,
                  TimePoint ListedAt);
  /// \returns whether a list of the machines may settle a start, since the
  /// worker does not respond.
  bool needsMachines() const;
  /// \returns whether the lists of the worker are needed to settle a start.
  bool needsLists(const WorkerSession &Session) const;
  /// \param MinAge time for which a start must have had no response.
  /// \returns all starts that may still be carried out.
  LateStartsRow row(std::chrono::milliseconds MinAge) const;
  std::size_t size() const { return Starts_.size(); }

private:
  struct Key {
    std::string Worker_;
    TaskName Task_;
    bool operator<(const Key &Other) const;
  };
  struct Start {
    RunNumber Number_ = 0;
    std::string Machine_;
    TimePoint LatestArrival_;
    TimePoint AddedAt_;
  };

  /// \returns whether no lifetime of the worker can have the run any more.
  bool isOver(const std::string &Worker, const Start &Late) const;
  void release(const Key &Name, const Start &Late, const char *Cause);

  PoolState &Pool_;
  std::map<Key, Start> Starts_;
  LateStartsRow Inherited_;
  TimePoint InheritedAt_;
};

} // namespace dragonflylock

#endif
