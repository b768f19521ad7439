#ifndef DRAGONFLYLOCK_SCHEDULING_JOBREQUESTHANDLER_H
#define DRAGONFLYLOCK_SCHEDULING_JOBREQUESTHANDLER_H

#include "scheduling/schedulingtypes.h"
#include "scheduling/storecircuitbreaker.h"
#include "scheduling/storetypes.h"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dragonflylock {

class IClock;
class ILogger;
class IStore;
class IAdmission;
class QueueDirectory;
struct AdmissionRefusal;

/// Outcome of a caller's request.
enum class JobRequestOutcome {
  Accepted,
  /// The request took no effect and will take none; the caller may retry it.
  Refused,
  /// The request may have taken effect; the caller may repeat it.
  Unknown,
  NoSuchJob,
};

/// Response to a caller.
struct JobResponse {
  JobRequestOutcome Outcome_ = JobRequestOutcome::Unknown;
  /// For a refused request, the time after which to retry.
  std::chrono::milliseconds RetryAfter_{0};
  /// The job's state. A submission that is refused as Cancelled will be refused
  /// again.
  JobPhase State_ = JobPhase::Queued;
};

/// Handles the requests of callers about jobs: stores a submission before it is
/// acknowledged, and reads the state of a job from the store. Every node
/// handles requests for every queue.
class JobRequestHandler
    : public std::enable_shared_from_this<JobRequestHandler> {
public:
  using ResponseCallback = std::function<void(const JobResponse &)>;
  /// Returns the state of a job if this node owns its pool, or nothing.
  using LocalStateLookup =
      std::function<std::optional<JobPhase>(const std::string &)>;

  /// \param Queues the queues recorded in the store, which the handler extends.
  JobRequestHandler(IStore &Store, const IClock &Clock, ILogger &Logger,
                    QueueDirectory &Queues, LocalStateLookup Local);

  /// Sets what decides which submissions are refused; it must outlive the
  /// handler. Without it, none is refused.
  void setAdmission(IAdmission &Value) { Admission_ = &Value; }
  /// Stores a job and then calls \p OnResponse.
  /// \param Timeout the time within which the caller expects a response.
  void submit(const QueueSetting &Queue, const std::string &Job, JobSpec Spec,
              std::chrono::milliseconds Timeout, ResponseCallback OnResponse);
  /// Reads the state of a job.
  void state(const std::string &Queue, const std::string &Job,
             std::chrono::milliseconds Timeout, ResponseCallback OnResponse);
  /// Stores the request to cancel a job, unless the job has ended. A job that
  /// is not stored is withdrawn: a submission of it that is still under way
  /// takes no effect, and NoSuchJob is responded once that is certain.
  /// \param Timeout the time within which the caller expects a response.
  void cancel(const QueueSetting &Queue, const std::string &Job,
              std::chrono::milliseconds Timeout, ResponseCallback OnResponse);
  /// Retries the store calls whose retry delay has passed.
  void tick();
  /// Finishes all requests, and each further one, without waiting for the
  /// store: as Unknown if a write may have taken effect, as Refused otherwise.
  void finishAll();

private:
  struct PendingRequest;
  using Attempt = std::function<void()>;

  std::shared_ptr<PendingRequest>
  begin(const char *Kind, const std::string &Queue, const std::string &Job,
        std::chrono::milliseconds Timeout, ResponseCallback OnResponse);
  /// \returns whether a refusal of the submission would be true, as far as this
  /// node can know.
  bool mayRefuse(const PendingRequest &Request) const;
  /// Refuses the submission unless its job has been accepted before. Submits it
  /// if the store does not tell.
  void refuseUnlessAccepted(const std::shared_ptr<PendingRequest> &Request,
                            const AdmissionRefusal &Refusal);
  void onAcceptanceRead(const std::shared_ptr<PendingRequest> &Request,
                        const AdmissionRefusal &Refusal,
                        const StoreRange &Read);
  void trySubmit(const std::shared_ptr<PendingRequest> &Request);
  /// Records the outcome of a write for a submission.
  void recordWrite(StoreOutcome Outcome);
  /// Records the request's queue, then continues with \p Then and with the
  /// requests that have waited for the same record.
  void recordQueue(const std::shared_ptr<PendingRequest> &Request,
                   Attempt Then);
  void onQueueRecorded(const StoreKey &Row, StoreOutcome Outcome);
  void onSubmitted(const std::shared_ptr<PendingRequest> &Request,
                   const StoreTransactionResult &End);
  void readJob(const std::shared_ptr<PendingRequest> &Request,
               std::function<void(const StoreRange &)> Then);
  void onStateRead(const std::shared_ptr<PendingRequest> &Request,
                   const StoreRange &Read);
  void onCancelRead(const std::shared_ptr<PendingRequest> &Request,
                    const StoreRange &Read);
  void readToCancel(const std::shared_ptr<PendingRequest> &Request);
  /// Stores the cancellation of a job.
  /// \param Submission version of its submission row.
  void tryCancel(const std::shared_ptr<PendingRequest> &Request,
                 StoreVersion Submission);
  /// Stores a row in place of the job's submission, so that a late one fails.
  void tryWithdraw(const std::shared_ptr<PendingRequest> &Request);
  /// \returns whether this node may store one more such row.
  bool mayWithdraw();
  /// Sends a write of a cancellation and finishes with \p Response once it is
  /// applied. If it is not, the job is read again.
  void writeToCancel(const std::shared_ptr<PendingRequest> &Request,
                     StoreTransaction Transaction, JobResponse Response);
  void retry(const std::shared_ptr<PendingRequest> &Request, Attempt Again);
  /// Responds to a request whose outcome does not become known in time.
  void finishWithoutResult(const std::shared_ptr<PendingRequest> &Request);
  void finish(const std::shared_ptr<PendingRequest> &Request,
              JobResponse Response);

  IStore &Store_;
  const IClock &Clock_;
  ILogger &Logger_;
  QueueDirectory &Queues_;
  LocalStateLookup LocalState_;
  StoreCircuitBreaker Breaker_;
  /// Requests that wait until their queue is recorded and how they continue, by
  /// the row of that.
  std::map<StoreKey,
           std::vector<std::pair<std::shared_ptr<PendingRequest>, Attempt>>>
      Recording_;
  /// When jobs were withdrawn, oldest first.
  std::deque<TimePoint> Withdrawals_;
  std::vector<std::pair<TimePoint, Attempt>> Retries_;
  std::set<std::weak_ptr<PendingRequest>, std::owner_less<>> Pending_;
  bool IsEnding_ = false;
  IAdmission *Admission_ = nullptr;
  /// No submission is refused before this time, because calls to the store have
  /// failed.
  TimePoint NoRefusalsBefore_;
};

} // namespace dragonflylock

#endif
