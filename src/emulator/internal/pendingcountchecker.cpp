#include "emulator/internal/pendingcountchecker.h"
#include "emulator/internal/emulatednode.h"
#include "emulator/internal/faultinjector.h"
#include "emulator/invariantchecker.h"
#include "emulator/simulation.h"

#include <algorithm>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds CheckInterval{250};
/// Maximum age of a count, and the time of its way to the other nodes.
constexpr milliseconds MaxAge{2500};
constexpr milliseconds MaxWrong{3000};
/// Time after the end of a fault from which on counts must be right.
constexpr milliseconds CalmDelay{4000};

/// \returns whether a worker can tell that a task of the job has started; it
/// can't after a crash.
bool hasKnownStart(const ObservedJob &Job) {
  return !Job.CompletedTasks_.empty() || !Job.Failures_.empty() ||
         std::any_of(Job.Running_.begin(), Job.Running_.end(),
                     [](const auto &Each) { return !Each.second.empty(); });
}

} // namespace

void PendingCountChecker::check() {
  Simulation_.schedule(CheckInterval, [this] { check(); });
  for (const std::string &Queue : Queues_)
    count(Queue);
  const TimePoint Now = Simulation_.now();
  if (Now < Faults_.lastFaultEnd() + CalmDelay) {
    WrongSince_.clear();
    return;
  }
  for (const auto &Node : Nodes_)
    for (const std::string &Queue : Queues_) {
      const SchedulerNode *Scheduler = Node->readyScheduler();
      if (Scheduler == nullptr)
        continue;
      const std::optional<std::uint64_t> Count =
          Scheduler->pendingJobCount(Queue);
      const std::pair Place(Node->name(), Queue);
      if (!Count || isPlausible(Queue, *Count)) {
        WrongSince_.erase(Place);
        continue;
      }
      const TimePoint Since = WrongSince_.try_emplace(Place, Now).first->second;
      if (Now != Since + MaxWrong)
        continue;
      const Range &Latest = Counts_[Queue].back();
      Simulation_.reportViolation(
          "MIXED", Node->name() + " gives " + std::to_string(*Count) +
                       " pending jobs of " + Queue + " instead of " +
                       std::to_string(Latest.Min_) + " to " +
                       std::to_string(Latest.Max_));
    }
}

void PendingCountChecker::count(const std::string &Queue) {
  Range Now;
  Now.At_ = Simulation_.now();
  for (const auto &[Id, Job] : Checker_.jobs()) {
    if (Job.Queue_ != Queue || Job.WasReportedFailed_ ||
        Job.CancelledAt_ != TimePoint())
      continue;
    if (Job.IsAccepted_ && Job.UnsettledCancellations_ == 0 &&
        Job.StartedAt_.empty())
      ++Now.Min_;
    if ((Job.IsAccepted_ || Job.UnrefusedSubmissions_ > 0) &&
        !hasKnownStart(Job))
      ++Now.Max_;
  }
  std::deque<Range> &Recent = Counts_[Queue];
  Recent.push_back(Now);
  while (Recent.front().At_ < Now.At_ - MaxAge)
    Recent.pop_front();
}

bool PendingCountChecker::isPlausible(const std::string &Queue,
                                      std::uint64_t Count) const {
  const std::deque<Range> &Recent = Counts_.at(Queue);
  const bool IsTooFew =
      std::all_of(Recent.begin(), Recent.end(),
                  [&](const Range &Each) { return Count < Each.Min_; });
  const bool IsTooMany =
      std::all_of(Recent.begin(), Recent.end(),
                  [&](const Range &Each) { return Count > Each.Max_; });
  return !IsTooFew && !IsTooMany;
}

} // namespace dragonflylock
