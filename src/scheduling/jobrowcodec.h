#ifndef DRAGONFLYLOCK_SCHEDULING_JOBROWCODEC_H
#define DRAGONFLYLOCK_SCHEDULING_JOBROWCODEC_H

#include "global/result.h"
#include "scheduling/schedulingtypes.h"

#include <optional>
#include <string>

namespace dragonflylock {

/// A job as its row holds it.
struct SubmittedJob {
  std::string Queue_;
  /// Pool of the queue when the job was accepted; used where the queue has
  /// been removed since.
  std::string Pool_;
  JobSpec Spec_;
  /// When the job was accepted, since 1970.
  std::chrono::milliseconds AcceptedAt_{0};
};

/// Row texts of jobs. The field names are the project's own.
namespace jobrowcodec {

std::string encode(const SubmittedJob &Job);
/// \returns the job, or SchedulingErrc::MalformedRow.
Result<SubmittedJob> decode(const std::string &Text);

/// \returns for example "running".
const char *nameOf(JobPhase State);
std::optional<JobPhase> stateOf(const std::string &Name);

} // namespace jobrowcodec
} // namespace dragonflylock

#endif
