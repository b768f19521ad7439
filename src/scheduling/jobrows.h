#ifndef DRAGONFLYLOCK_SCHEDULING_JOBROWS_H
#define DRAGONFLYLOCK_SCHEDULING_JOBROWS_H

#include "scheduling/storetypes.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dragonflylock {

/// The kinds of rows that a job has in the table of jobs. Each kind has one
/// writer: the node that accepted the job, its owner, and the node that took
/// its cancellation.
enum class JobRowKind { Submission, Progress, Cancellation };

/// Names of the rows of jobs. All rows of a queue form one part.
namespace jobrows {

/// Tables that the jobs are spread over, so that the owner of a pool follows
/// the changes of few other queues. The store allows 100 tables in all.
inline constexpr std::uint32_t TableCount = 24;

/// \returns the table that holds the jobs of \p Queue. It depends on nothing
/// that operators change, so that a repeated submission finds the first one.
std::string tableOf(const std::string &Queue);
/// \returns the row's name.
StoreKey keyOf(const std::string &Queue, const std::string &Job,
               JobRowKind Kind);
/// \returns the job that \p Row belongs to; empty for a row of another form.
std::string jobOf(const StoreKey &Row);
/// \returns the kind of \p Row, or nothing for a row of another form.
std::optional<JobRowKind> kindOf(const StoreKey &Row);
/// \returns the first key after those of the job's rows.
std::string endKeyOf(const std::string &Job);

} // namespace jobrows
} // namespace dragonflylock

#endif
