#ifndef DRAGONFLYLOCK_ENTRY_INTERNAL_JOBWORKER_H
#define DRAGONFLYLOCK_ENTRY_INTERNAL_JOBWORKER_H

#include "entry/entrytypes.h"
#include "global/boundedring.h"
#include "global/signal.h"
#include "jobs/internal/tablejobservice.h"
#include "jobs/jobrunner.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace dragonflylock {

class IEntryView;
class IPlatform;

/// The thread of asynchronous jobs: takes callers' orders, and runs jobs
/// through the deciding thread like any other request.
class JobWorker {
public:
  /// Hands a request to the deciding thread.
  /// \returns whether it was taken in.
  using Submitter = std::function<bool(CallerEvent)>;

  /// Path under which callers ask for their jobs.
  static constexpr const char *Path = "/.dragonflylock/jobs/";

  /// \param Name the name of this entry instance.
  /// \param Platform is used by the worker's thread alone.
  /// \param Clock, View must outlive the worker.
  JobWorker(std::string Name, std::shared_ptr<IPlatform> Platform,
            const IClock &Clock, IEntryView &View, Submitter Submit);
  ~JobWorker();

  /// \returns whether \p Request concerns a job rather than an endpoint.
  static bool isForJobs(const HttpRequest &Request);
  /// Takes in such a request.
  /// \returns whether it was taken in; if not, the caller answers it.
  bool onCaller(CallerEvent Event) { return Orders_.tryPut(std::move(Event)); }

  /// Starts the thread.
  void start();
  /// Takes up no further jobs.
  void beginDrain() { IsDraining_ = true; }
  /// Ends the thread once the ends of its runs are written, or after
  /// \p Longest.
  void stop(std::chrono::milliseconds Longest);

private:
  struct EndedRun {
    std::string Id_;
    std::uint64_t Epoch_ = 0;
    HttpAnswer Answer_;
  };
  class RunResponder;

  void run();
  bool startRun(const std::string &Id, std::uint64_t Epoch,
                HttpRequest Request);
  HttpAnswer answerTo(const HttpRequest &Order);
  HttpAnswer create(const HttpRequest &Order);
  HttpAnswer show(const std::string &Id);
  HttpAnswer cancel(const std::string &Id);

  std::string Name_;
  std::shared_ptr<IPlatform> Platform_;
  const IClock &Clock_;
  IEntryView &View_;
  Submitter Submit_;
  Signal Signal_;
  BoundedRing<CallerEvent> Orders_;
  BoundedRing<EndedRun> EndedRuns_;
  TableJobService Service_;
  JobRunner Runner_;
  std::atomic<bool> IsDraining_ = false;
  std::atomic<bool> IsStopping_ = false;
  std::atomic<std::size_t> OwnRuns_ = 0;
  std::thread Thread_;
};

} // namespace dragonflylock

#endif
