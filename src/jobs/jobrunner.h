#ifndef DRAGONFLYLOCK_JOBS_JOBRUNNER_H
#define DRAGONFLYLOCK_JOBS_JOBRUNNER_H

#include "global/iclock.h"
#include "jobs/ijobservice.h"
#include "jobs/jobstatemachine.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylock {

/// Takes jobs up, renews their leases and records how they end. For use by
/// one thread; blocks for the time of the table's calls.
class JobRunner {
public:
  /// Starts a run of a job; its end is reported by onRunResult().
  using StartCallback = std::function<bool(const std::string &Id,
                                           std::uint64_t Epoch, HttpRequest)>;

  /// \param Self the name of this entry instance.
  /// \param Service, Clock must outlive the runner.
  JobRunner(const std::string &Self, IJobService &Service, const IClock &Clock,
            StartCallback Start);

  /// Performs one round.
  /// \param Members entry instances that run jobs, this one included; jobs
  /// are spread over them by rendezvous hashing.
  /// \param MayAcquire false while this entry instance is stopping.
  void runRound(const std::vector<std::string> &Members, bool MayAcquire);
  /// Reports how a run ended.
  void onRunResult(const std::string &Id, std::uint64_t Epoch,
                   JobRunResult RunResult);
  /// \returns the number of runs whose end is not written yet.
  std::size_t unfinishedRuns() const { return Runs_.size(); }

private:
  /// A job that this entry instance runs.
  struct Run {
    StoredJob Job_;
    TimePoint RenewAt_;
    std::optional<JobRunResult> Result_;
  };

  void writeResults();
  void renewLeases();
  void acquireDueJobs(const std::vector<std::string> &Members);
  bool isDue(const std::string &Id, const StoredJob &Job);
  void acquire(const std::string &Id, const StoredJob &Job);

  std::string Self_;
  JobStateMachine Machine_;
  IJobService &Service_;
  const IClock &Clock_;
  StartCallback StartRun_;
  std::map<std::string, Run> Runs_;
  std::map<std::string, std::optional<JobStateMachine::Observation>>
      LeaseObservations_;
};

} // namespace dragonflylock

#endif
