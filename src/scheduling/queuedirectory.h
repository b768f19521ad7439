#ifndef DRAGONFLYLOCK_SCHEDULING_QUEUEDIRECTORY_H
#define DRAGONFLYLOCK_SCHEDULING_QUEUEDIRECTORY_H

#include <map>
#include <set>
#include <string>

namespace dragonflylock {

/// Queues that may hold jobs of each pool, as recorded in the store. A node
/// records a queue before it accepts the first job, so that the owner of the
/// pool knows the queue even if it skipped the configuration that has it.
class QueueDirectory {
public:
  /// Adds a recorded queue.
  /// \returns whether it was not known yet.
  bool add(const std::string &Pool, const std::string &Queue) {
    return Queues_[Pool].insert(Queue).second;
  }

  bool contains(const std::string &Pool, const std::string &Queue) const {
    auto Found = Queues_.find(Pool);
    return Found != Queues_.end() && Found->second.contains(Queue);
  }

  /// \returns the queues that may hold jobs of \p Pool.
  std::set<std::string> queuesOf(const std::string &Pool) const {
    auto Found = Queues_.find(Pool);
    return Found == Queues_.end() ? std::set<std::string>() : Found->second;
  }

private:
  std::map<std::string, std::set<std::string>> Queues_;
};

} // namespace dragonflylock

#endif
