#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_ROSTERMANAGER_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_ROSTERMANAGER_H

#include "global/iclock.h"
#include "scheduling/storetypes.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace dragonflylock {

class WorkerSession;
struct PoolState;
struct RosterRow;
struct StorePut;
struct StoreRange;

/// Maintains the stored list of the workers that may run tasks of the pool. A
/// worker gets its first order only after it has been stored in the list, so
/// that the next owner knows every worker that may run something.
class RosterManager : public std::enable_shared_from_this<RosterManager> {
public:
  explicit RosterManager(PoolState &Pool) : Pool_(Pool) {}

  /// Reads the row once, then writes it whenever the sessions, the queues or
  /// the set of silent workers differ from it.
  void tick();
  bool isLoaded() const { return IsLoaded_; }
  /// Adds queues whose jobs may belong to the pool.
  void addQueues(const std::set<std::string> &Queues);
  /// \returns all queues whose jobs may belong to the pool.
  const std::set<std::string> &queues() const { return Queues_; }
  /// \returns the row to store when this owner has stopped acting and releases
  /// the pool. It declares each worker whose runs are known as silent, so that
  /// the next owner can start the other tasks before the worker has answered.
  /// std::nullopt if the roster of earlier owners has not been read.
  std::optional<StorePut> rowForRelease() const;

private:
  void load();
  void onLoaded(const StoreRange &Read);
  void applyRoster(const RosterRow &Roster);
  /// Marks the sessions of workers that the stored roster contains.
  void markStoredWorkers();
  bool needsWriting() const;
  /// \returns whether all tasks that may run on the worker are known.
  bool areRunsKnown(const WorkerSession &Session) const;
  /// \returns whether the worker does not respond and all tasks that may run on
  /// it are known.
  bool shouldDeclareSilent(const WorkerSession &Session) const;
  /// \returns the lifetimes of the silent workers that the row declares: as
  /// many as fit into it.
  std::set<std::string> lifetimesToDeclare() const;
  /// \returns the tasks that may run on each worker, by its lifetime. They
  /// include tasks whose end the worker has listed and the store does not hold
  /// yet.
  /// \param Lifetimes the workers; the runs of each must be known.
  std::map<std::string, std::set<std::string>>
  tasksOn(const std::set<std::string> &Lifetimes) const;
  /// \returns the row without declarations of silent workers.
  RosterRow rosterOfSessions() const;
  void write();
  void onWritten(const std::set<std::string> &Written, const RosterRow &Roster,
                 const StoreTransactionResult &Result);

  PoolState &Pool_;
  bool IsLoaded_ = false;
  bool IsBusy_ = false;
  TimePoint LoadStart_;
  TimePoint NextCall_;
  StoreVersion Version_ = 0;
  /// Lifetimes of the workers in the stored row.
  std::set<std::string> StoredWorkers_;
  std::set<std::string> StoredQueues_;
  std::set<std::string> StoredSilent_;
  std::set<std::string> Queues_;
};

} // namespace dragonflylock

#endif
