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

/// Acquires jobs, renews their leases and writes their results. Not
/// thread-safe; blocks while it calls the job service.
class JobRunner {
public:
  /// Starts a run of a job, whose result is passed to onRunResult() later.
  /// \returns whether the run was started.
  using StartCallback = std::function<bool(const std::string &Id,
                                           std::uint64_t Epoch, HttpRequest)>;

  /// \param Self the name of this entry instance.
  /// \param Service, Clock must outlive the runner.
  JobRunner(const std::string &Self, IJobService &Service, const IClock &Clock,
            StartCallback Start);

  /// Writes results, renews leases and acquires jobs that are due.
  /// \param Members the entry instances that run jobs, including this one;
  /// jobs are assigned to them by rendezvous hashing.
  /// \param MayAcquire false while this entry instance is stopping.
  void runRound(const std::vector<std::string> &Members, bool MayAcquire);
  /// Called when a run has ended. The result is ignored if the job no longer
  /// runs here under \p Epoch.
  void onRunResult(const std::string &Id, std::uint64_t Epoch,
                   JobRunResult RunResult);
  /// \returns the number of runs whose result is not written yet.
  std::size_t unfinishedRuns() const { return Runs_.size(); }

private:
  /// A job that this entry instance has acquired.
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
