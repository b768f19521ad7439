#ifndef DRAGONFLYLOCK_SCHEDULING_JOBROWS_H
#define DRAGONFLYLOCK_SCHEDULING_JOBROWS_H

#include "scheduling/storetypes.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dragonflylock {

/// The kinds of rows that a job has in its table. Each kind has one writer: the
/// node that accepted the job, the owner of its pool, and the node that
/// received its cancellation, in this order.
enum class JobRowKind { Submission, Progress, Cancellation };

/// Keys of the rows of jobs. All rows of a queue form one partition of a table.
namespace jobrows {

/// Number of tables over which the jobs are distributed, so that the owner of a
/// pool reads the changes of few queues of other pools. The store allows 100
/// tables in all.
inline constexpr std::uint32_t TableCount = 24;

/// \returns the table that holds the jobs of \p Queue. It depends only on the
/// queue's name and on nothing that operators change, so that a repeated
/// submission finds the row of the first one.
std::string tableOf(const std::string &Queue);
StoreKey keyOf(const std::string &Queue, const std::string &Job,
               JobRowKind Kind);
/// \returns the id of the job that \p Row belongs to; empty if \p Row is not
/// the key of a job row.
std::string jobOf(const StoreKey &Row);
/// \returns the kind of \p Row, or nothing if it is not the key of a job row.
std::optional<JobRowKind> kindOf(const StoreKey &Row);
/// \returns the end of the key range of the job's rows, exclusive.
std::string endKeyOf(const std::string &Job);

} // namespace jobrows
} // namespace dragonflylock

#endif
