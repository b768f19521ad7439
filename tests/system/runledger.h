#ifndef DRAGONFLYLOCK_TESTS_SYSTEM_RUNLEDGER_H
#define DRAGONFLYLOCK_TESTS_SYSTEM_RUNLEDGER_H

#include <map>
#include <set>
#include <string>
#include <vector>

namespace dragonflylock {

/// What all workers know of the tasks that ran, to find tasks that run twice.
struct RunLedger {
  /// Notes an event with the time.
  void note(const std::string &What);

  /// Tasks that run, and the worker of each.
  std::map<std::string, std::string> Running_;
  /// Tasks of which an owner has acknowledged the successful end.
  std::set<std::string> Done_;
  /// What must not have happened.
  std::vector<std::string> Faults_;
  /// What happened, in order, for the search of a fault's cause.
  std::vector<std::string> Events_;
};

} // namespace dragonflylock

#endif
