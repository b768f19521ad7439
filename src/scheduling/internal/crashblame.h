#ifndef DRAGONFLYLOCK_SCHEDULING_INTERNAL_CRASHBLAME_H
#define DRAGONFLYLOCK_SCHEDULING_INTERNAL_CRASHBLAME_H

#include "scheduling/schedulingtypes.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace dragonflylock {

/// A worker that has crashed.
struct WorkerCrash {
  WorkerEntry Worker_;
  TimePoint NoticedAt_;
  /// Whether a task that the worker had just started was on trial.
  bool HadRunOnTrial_ = false;
};

/// A crash during the trial of a task.
struct CrashedTrial {
  TaskName Task_;
  RunNumber Run_ = 0;
  std::string Lifetime_;
};

/// Whether a task is to blame for a crash during its trial.
struct CrashVerdict {
  CrashedTrial Trial_;
  std::string Worker_;
  bool IsBlamed_ = true;
  /// Other workers of the same zone or rack that crashed at the same time.
  std::size_t OtherCrashes_ = 0;
};

/// Decides whether tasks on trial are to blame for the crashes of their
/// workers. A crash has another cause if the whole zone or rack shares it and
/// no task was on trial on one of the other workers there. Their crashes are
/// often noticed later, so a verdict takes a while.
class CrashBlame {
public:
  /// Crashes of one cause are noticed within this time. It is also the time
  /// that a verdict takes.
  static constexpr std::chrono::milliseconds Window{1000};

  /// Records that a worker has crashed. May be called several times for one
  /// lifetime; the first call counts as the time of the crash.
  void addCrash(const WorkerCrash &Crash);
  /// Records that a task was on trial on a worker that has crashed. The crash
  /// must have been recorded.
  void addTrial(const CrashedTrial &Trial);
  bool hasTrials() const { return !Trials_.empty(); }
  /// Removes the trials whose verdict is due.
  /// \param Known the workers of the pool, including those that are down. A
  ///   worker that went down earlier did not share the crash.
  /// \returns the verdicts.
  std::vector<CrashVerdict> takeDue(TimePoint Now,
                                    const std::vector<WorkerEntry> &Known);

private:
  /// The workers of one zone or rack at the time of a crash.
  struct Surroundings {
    /// Other workers that crashed.
    std::size_t Crashed_ = 0;
    /// Those of them on which no task was on trial.
    std::size_t WithoutTrial_ = 0;
    /// Whether there are workers that did not crash then.
    bool HasOthers_ = false;

    bool explainCrash() const { return WithoutTrial_ > 0 && !HasOthers_; }
  };
  using IsSamePlace = bool (*)(const WorkerEntry &, const WorkerEntry &);

  /// \returns the crashes, beside \p Crash, of workers of the same place.
  Surroundings surroundingsOf(const WorkerCrash &Crash, IsSamePlace IsNear,
                              const std::vector<WorkerEntry> &Known) const;
  CrashVerdict judge(const CrashedTrial &Trial,
                     const std::vector<WorkerEntry> &Known) const;
  void forgetOldCrashes(TimePoint Now);

  /// By lifetime.
  std::map<std::string, WorkerCrash> Crashes_;
  std::vector<CrashedTrial> Trials_;
};

} // namespace dragonflylock

#endif
