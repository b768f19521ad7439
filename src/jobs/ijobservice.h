#ifndef DRAGONFLYLOCK_JOBS_IJOBSERVICE_H
#define DRAGONFLYLOCK_JOBS_IJOBSERVICE_H

#include "global/result.h"
#include "jobs/jobtypes.h"
#include "platformservices/platformtypes.h"

#include <map>
#include <optional>
#include <string>

namespace dragonflylock {

/// A job's row as it was read.
struct StoredJob {
  JobRecord Record_;
  RowVersion Version_ = 0;
};

/// Keeps jobs; for use by one thread.
class IJobService {
public:
  virtual ~IJobService() = default;
  /// Inserts a job, or finds the one that has its id.
  /// \returns the stored job; PlatformErrc::Unavailable where nothing was
  /// written; PlatformErrc::AnswerLost where that is not known.
  virtual Result<StoredJob> create(const std::string &Id,
                                   const JobRecord &NewJob) = 0;
  /// \returns the job, nothing where there is none, or a PlatformErrc.
  virtual Result<std::optional<StoredJob>> read(const std::string &Id) = 0;
  /// Writes a job under the condition that it is still at \p Version.
  /// \returns the new version, or a PlatformErrc.
  virtual Result<RowVersion> write(const std::string &Id, RowVersion Version,
                                   const JobRecord &Next) = 0;
  /// Reads what has changed.
  virtual Result<void> refresh() = 0;
  /// \returns the jobs that have not ended, as of the last refresh.
  virtual const std::map<std::string, StoredJob> &unfinishedJobs() const = 0;
};

} // namespace dragonflylock

#endif
