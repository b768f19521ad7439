#ifndef DRAGONFLYLOCK_JOBS_JOBRUNNER_H
#define DRAGONFLYLOCK_JOBS_JOBRUNNER_H

#include "global/iclock.h"
#include "jobs/ijobservice.h"
#include "jobs/jobmachine.h"

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
  /// Starts a run of a job; its end is reported by onRunEnd().
  using Starter = std::function<bool(const std::string &Id, std::uint64_t Epoch,
                                     HttpRequest)>;

  /// \param Self the name of this entry instance.
  /// \param Service, Clock must outlive the runner.
  JobRunner(const std::string &Self, IJobService &Service, const IClock &Clock,
            Starter Start);

  /// Performs one round.
  /// \param Members entry instances that run jobs, this one included; jobs
  /// are spread over them by rendezvous hashing.
  /// \param MayTakeUp false while this entry instance is stopping.
  void runRound(const std::vector<std::string> &Members, bool MayTakeUp);
  /// Reports how a run ended.
  void onRunEnd(const std::string &Id, std::uint64_t Epoch, JobRunEnd End);
  /// \returns the number of runs whose end is not written yet.
  std::size_t ownRuns() const { return Runs_.size(); }

private:
  /// A job that this entry instance runs.
  struct Run {
    StoredJob Job_;
    TimePoint RenewAt_;
    std::optional<JobRunEnd> End_;
  };

  void writeEnds();
  void renewLeases();
  void takeUpDue(const std::vector<std::string> &Members);
  bool isDue(const std::string &Id, const StoredJob &Job);
  void takeUp(const std::string &Id, const StoredJob &Job);

  std::string Self_;
  JobMachine Machine_;
  IJobService &Service_;
  const IClock &Clock_;
  Starter Start_;
  std::map<std::string, Run> Runs_;
  std::map<std::string, std::optional<JobMachine::Observation>> Seen_;
};

} // namespace dragonflylock

#endif
