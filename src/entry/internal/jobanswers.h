#ifndef DRAGONFLYLOCK_ENTRY_INTERNAL_JOBANSWERS_H
#define DRAGONFLYLOCK_ENTRY_INTERNAL_JOBANSWERS_H

#include "global/error.h"
#include "http/httptypes.h"
#include "jobs/jobstatemachine.h"

#include <string>

namespace dragonflylock::jobanswers {

/// \returns 202 with the place where the job can be asked for.
HttpAnswer accepted(const std::string &Id, JobState State);
/// \returns the job's answer, its failure, or 202 while it has not ended.
HttpAnswer stateOf(const std::string &Id, const JobRecord &Job);
/// \returns the problem document where the table could not be used.
HttpAnswer unavailable(const Error &Failure);
/// \returns the problem document of a refused order.
HttpAnswer refused(int Status, const std::string &Kind,
                   const std::string &Remedy);

/// \returns how a run ended, from the answer that its caller would have got.
JobRunResult runEndFrom(HttpAnswer Answer);

} // namespace dragonflylock::jobanswers

#endif
