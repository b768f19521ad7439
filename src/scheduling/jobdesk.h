#ifndef DRAGONFLYLOCK_SCHEDULING_JOBDESK_H
#define DRAGONFLYLOCK_SCHEDULING_JOBDESK_H

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
enum class DeskOutcome {
  Accepted,
  /// Nothing was done and nothing will be; the caller may come back.
  Refused,
  /// It may have been done; the caller may ask again.
  Unknown,
  /// There is no such job.
  NoSuchJob,
};

/// The answer to a caller.
struct DeskAnswer {
  DeskOutcome Outcome_ = DeskOutcome::Unknown;
  /// For a refusal, when to come back.
  std::chrono::milliseconds RetryAfter_{0};
  JobPhase State_ = JobPhase::Queued;
};

/// Takes callers' jobs: stores a submission before it is acknowledged, and
/// tells the state of a job from the store. Any node does this for any queue.
class JobDesk : public std::enable_shared_from_this<JobDesk> {
public:
  using Done = std::function<void(const DeskAnswer &)>;
  /// Tells the state of a job that this node owns, if it does.
  using LocalState =
      std::function<std::optional<JobPhase>(const std::string &)>;

  JobDesk(IStore &Store, const IClock &Clock, ILogger &Logger,
          LocalState Local);

  /// Stores a job.
  /// \param Longest the time in which the caller wants an answer.
  void submit(const QueueSetting &Queue, const std::string &Job, JobSpec Spec,
              std::chrono::milliseconds Longest, Done Answer);
  /// Tells the state of a job.
  void state(const std::string &Queue, const std::string &Job,
             std::chrono::milliseconds Longest, Done Answer);
  /// Stores the wish to cancel a job.
  void cancel(const std::string &Queue, const std::string &Job,
              std::chrono::milliseconds Longest, Done Answer);
  /// Repeats calls whose pause is over.
  void tick();

private:
  struct Call;
  using Attempt = std::function<void()>;

  void trySubmit(const std::shared_ptr<Call> &Each);
  void onSubmitted(const std::shared_ptr<Call> &Each,
                   const StoreTransactionResult &End);
  void tryRead(const std::shared_ptr<Call> &Each,
               std::function<void(const StoreRange &)> Then);
  void onState(const std::shared_ptr<Call> &Each, const StoreRange &Read);
  void onCancelRead(const std::shared_ptr<Call> &Each, const StoreRange &Read);
  void tryCancel(const std::shared_ptr<Call> &Each);
  void retry(const std::shared_ptr<Call> &Each, Attempt Again);
  void finish(const std::shared_ptr<Call> &Each, DeskAnswer Answer);

  IStore &Store_;
  const IClock &Clock_;
  ILogger &Logger_;
  LocalState Local_;
  std::vector<std::pair<TimePoint, Attempt>> Waiting_;
};

} // namespace dragonflylock

#endif
