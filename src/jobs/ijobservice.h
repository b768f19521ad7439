#ifndef DRAGONFLYLOCK_JOBS_IJOBSERVICE_H
#define DRAGONFLYLOCK_JOBS_IJOBSERVICE_H

#include "global/result.h"
#include "jobs/jobtypes.h"
#include "platformservices/platformtypes.h"

#include <map>
#include <optional>
#include <string>

namespace dragonflylock {

/// A stored job and the version of its row.
struct StoredJob {
  JobRecord Record_;
  RowVersion Version_ = 0;
};

/// Stores jobs. Not thread-safe.
class IJobService {
public:
  virtual ~IJobService() = default;
  /// Inserts a job unless one with the same ID exists.
  /// \returns the new or existing job; PlatformErrc::Unavailable if nothing was
  /// written; PlatformErrc::AnswerLost if it is unknown whether the job was
  /// written.
  virtual Result<StoredJob> create(const std::string &Id,
                                   const JobRecord &NewJob) = 0;
  /// \returns the job, std::nullopt if there is none, or a PlatformErrc.
  virtual Result<std::optional<StoredJob>> read(const std::string &Id) = 0;
  /// Writes a job on condition that its row still has \p Version.
  /// \returns the new version, or a PlatformErrc.
  virtual Result<RowVersion> write(const std::string &Id, RowVersion Version,
                                   const JobRecord &Next) = 0;
  /// Reads the changes since the last refresh.
  virtual Result<void> refresh() = 0;
  /// \returns the jobs that have not ended, as of the last refresh.
  virtual const std::map<std::string, StoredJob> &unfinishedJobs() const = 0;
};

} // namespace dragonflylock

#endif
