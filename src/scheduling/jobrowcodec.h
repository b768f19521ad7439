#ifndef DRAGONFLYLOCK_SCHEDULING_JOBROWCODEC_H
#define DRAGONFLYLOCK_SCHEDULING_JOBROWCODEC_H

#include "global/result.h"
#include "scheduling/schedulingtypes.h"

#include <optional>
#include <string>

namespace dragonflylock {

/// A job as its submission row holds it.
struct SubmittedJob {
  std::string Queue_;
  /// Pool of the queue at the time when the job was accepted; used if the queue
  /// has been removed since.
  std::string Pool_;
  /// Policy of the queue at that time; used if the queue has been removed
  /// since.
  QueuePolicy Policy_;
  JobSpec Spec_;
  /// Time of acceptance, since 1970.
  std::chrono::milliseconds AcceptedAt_{0};
};

/// A job that was cancelled before it was stored, as the row in place of its
/// submission holds it. The row makes a late submission fail.
struct WithdrawnJob {
  std::string Queue_;
  /// Pool of the queue; its owner removes the row.
  std::string Pool_;
};

/// Encodes and decodes submission rows as JSON. This project defines the names
/// of the fields.
namespace jobrowcodec {

std::string encode(const SubmittedJob &Job);
/// \returns the job, or SchedulingErrc::MalformedRow.
Result<SubmittedJob> decode(const std::string &Text);

std::string encode(const WithdrawnJob &Job);
/// \returns the withdrawn job, or nothing if the row holds another one.
std::optional<WithdrawnJob> decodeWithdrawn(const std::string &Text);

/// \returns the state's name in rows and logs, for example "running".
const char *nameOf(JobPhase State);
std::optional<JobPhase> stateOf(const std::string &Name);

} // namespace jobrowcodec
} // namespace dragonflylock

#endif
