#ifndef DRAGONFLYLOCK_SCHEDULING_JOBREQUESTHANDLER_H
#define DRAGONFLYLOCK_SCHEDULING_JOBREQUESTHANDLER_H

#include "scheduling/schedulingtypes.h"
#include "scheduling/storetypes.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dragonflylock {

class IClock;
class ILogger;
class IStore;

/// What came of a submission or a cancellation.
enum class JobRequestOutcome {
  Accepted,
  /// Nothing was done and nothing will be; the caller may come back.
  Refused,
  /// It may have been done; the caller may ask again.
  Unknown,
  /// There is no such job.
  NoSuchJob,
};

/// The answer to a caller.
struct JobResponse {
  JobRequestOutcome Outcome_ = JobRequestOutcome::Unknown;
  /// For a refusal, when to come back.
  std::chrono::milliseconds RetryAfter_{0};
  JobPhase State_ = JobPhase::Queued;
};

/// Takes callers' jobs: stores a submission before it is acknowledged, and
/// tells the state of a job from the store. Any node does this for any queue.
class JobRequestHandler
    : public std::enable_shared_from_this<JobRequestHandler> {
public:
  using ResponseCallback = std::function<void(const JobResponse &)>;
  /// Tells the state of a job that this node owns, if it does.
  using LocalStateLookup =
      std::function<std::optional<JobPhase>(const std::string &)>;

  JobRequestHandler(IStore &Store, const IClock &Clock, ILogger &Logger,
                    LocalStateLookup Local);

  /// Stores a job.
  /// \param Timeout the time in which the caller wants an answer.
  void submit(const QueueSetting &Queue, const std::string &Job, JobSpec Spec,
              std::chrono::milliseconds Timeout, ResponseCallback OnResponse);
  /// Tells the state of a job.
  void state(const std::string &Queue, const std::string &Job,
             std::chrono::milliseconds Timeout, ResponseCallback OnResponse);
  /// Stores the wish to cancel a job.
  void cancel(const std::string &Queue, const std::string &Job,
              std::chrono::milliseconds Timeout, ResponseCallback OnResponse);
  /// Repeats calls whose pause is over.
  void tick();

private:
  struct PendingRequest;
  using Attempt = std::function<void()>;

  void trySubmit(const std::shared_ptr<PendingRequest> &Request);
  void onSubmitted(const std::shared_ptr<PendingRequest> &Request,
                   const StoreTransactionEnd &End);
  void readJob(const std::shared_ptr<PendingRequest> &Request,
               std::function<void(const StoreRange &)> Then);
  void onStateRead(const std::shared_ptr<PendingRequest> &Request,
                   const StoreRange &Read);
  void onCancelRead(const std::shared_ptr<PendingRequest> &Request,
                    const StoreRange &Read);
  void tryCancel(const std::shared_ptr<PendingRequest> &Request);
  void retry(const std::shared_ptr<PendingRequest> &Request, Attempt Again);
  void finish(const std::shared_ptr<PendingRequest> &Request,
              JobResponse Response);

  IStore &Store_;
  const IClock &Clock_;
  ILogger &Logger_;
  LocalStateLookup LocalState_;
  std::vector<std::pair<TimePoint, Attempt>> Retries_;
};

} // namespace dragonflylock

#endif
