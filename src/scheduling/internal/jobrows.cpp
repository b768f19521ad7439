#include "scheduling/jobrows.h"

namespace dragonflylock::jobrows {
namespace {

constexpr const char *TablePrefix = "dragonflylock-jobs-";
constexpr char Separator = '/';
// These names sort so that a range read returns the submission of a job before
// its other rows.
constexpr const char *SubmissionName = "job";
constexpr const char *ProgressName = "progress";
constexpr const char *CancellationName = "stop-request";

} // namespace

std::string tableOf(const std::string &Queue) {
  // FNV-1a; unlike std::hash, it is the same in every process and build.
  std::uint32_t Hash = 2166136261U;
  for (unsigned char Byte : Queue)
    Hash = (Hash ^ Byte) * 16777619U;
  return TablePrefix + std::to_string(Hash % TableCount);
}

StoreKey keyOf(const std::string &Queue, const std::string &Job,
               JobRowKind Kind) {
  const char *Suffix = SubmissionName;
  if (Kind == JobRowKind::Progress)
    Suffix = ProgressName;
  if (Kind == JobRowKind::Cancellation)
    Suffix = CancellationName;
  return {tableOf(Queue), Queue, Job + Separator + Suffix};
}

std::string jobOf(const StoreKey &Row) {
  auto End = Row.Key_.find(Separator);
  return End == std::string::npos ? std::string() : Row.Key_.substr(0, End);
}

std::optional<JobRowKind> kindOf(const StoreKey &Row) {
  auto End = Row.Key_.find(Separator);
  if (End == std::string::npos)
    return std::nullopt;
  std::string Suffix = Row.Key_.substr(End + 1);
  if (Suffix == SubmissionName)
    return JobRowKind::Submission;
  if (Suffix == ProgressName)
    return JobRowKind::Progress;
  if (Suffix == CancellationName)
    return JobRowKind::Cancellation;
  return std::nullopt;
}

std::string endKeyOf(const std::string &Job) {
  return Job + static_cast<char>(Separator + 1);
}

} // namespace dragonflylock::jobrows
