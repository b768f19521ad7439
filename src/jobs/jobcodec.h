#ifndef DRAGONFLYLOCK_JOBS_JOBCODEC_H
#define DRAGONFLYLOCK_JOBS_JOBCODEC_H

#include "global/result.h"
#include "jobs/jobtypes.h"

#include <string>

namespace dragonflylock::jobcodec {

/// \returns the row value for \p Record.
std::string encode(const JobRecord &Record);
/// \returns the job of a row value, or PlatformErrc::BadAnswer.
Result<JobRecord> decode(const std::string &Value);
/// \returns the name of \p State in rows and answers.
const char *nameOf(JobState State);

} // namespace dragonflylock::jobcodec

#endif
