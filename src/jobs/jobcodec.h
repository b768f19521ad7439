#ifndef DRAGONFLYLOCK_JOBS_JOBCODEC_H
#define DRAGONFLYLOCK_JOBS_JOBCODEC_H

#include "global/result.h"
#include "jobs/jobtypes.h"

#include <string>

namespace dragonflylock::jobcodec {

/// \returns \p Record encoded as a row value.
std::string encode(const JobRecord &Record);
/// \returns the decoded job, or PlatformErrc::BadAnswer if \p Value is
/// malformed.
Result<JobRecord> decode(const std::string &Value);
/// \returns the name of \p State in rows and responses.
const char *nameOf(JobState State);

} // namespace dragonflylock::jobcodec

#endif
