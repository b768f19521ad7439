#include "scheduling/internal/crashblame.h"

#include <algorithm>
#include <set>
#include <utility>

namespace dragonflylock {
namespace {

/// \returns a name of the worker that its later lifetimes share.
const std::string &hostOf(const WorkerEntry &Worker) {
  return Worker.Machine_.empty() ? Worker.Id_ : Worker.Machine_;
}

bool isSameZone(const WorkerEntry &Left, const WorkerEntry &Right) {
  return !Left.Zone_.empty() && Left.Zone_ == Right.Zone_;
}

bool isSameRack(const WorkerEntry &Left, const WorkerEntry &Right) {
  return !Left.Rack_.empty() && Left.Rack_ == Right.Rack_ &&
         Left.Zone_ == Right.Zone_;
}

} // namespace

void CrashBlame::addCrash(const WorkerCrash &Crash) {
  forgetOldCrashes(Crash.NoticedAt_);
  auto [Found, IsNew] = Crashes_.emplace(Crash.Worker_.lifetime(), Crash);
  if (IsNew)
    return;
  Found->second.HadRunOnTrial_ |= Crash.HadRunOnTrial_;
}

void CrashBlame::addTrial(const CrashedTrial &Trial) {
  Trials_.push_back(Trial);
}

std::vector<CrashVerdict>
CrashBlame::takeDue(TimePoint Now, const std::vector<WorkerEntry> &Known) {
  std::vector<CrashVerdict> Verdicts;
  std::erase_if(Trials_, [&](const CrashedTrial &Trial) {
    if (Now < Crashes_.at(Trial.Lifetime_).NoticedAt_ + Window)
      return false;
    Verdicts.push_back(judge(Trial, Known));
    return true;
  });
  return Verdicts;
}

CrashBlame::Surroundings
CrashBlame::surroundingsOf(const WorkerCrash &Crash, IsSamePlace IsNear,
                           const std::vector<WorkerEntry> &Known) const {
  Surroundings Found;
  std::set<std::string> CrashedHosts{hostOf(Crash.Worker_)};
  for (const auto &[Lifetime, Other] : Crashes_) {
    bool IsTogether = Other.NoticedAt_ <= Crash.NoticedAt_ + Window &&
                      Crash.NoticedAt_ <= Other.NoticedAt_ + Window;
    if (!IsTogether || !IsNear(Other.Worker_, Crash.Worker_) ||
        !CrashedHosts.insert(hostOf(Other.Worker_)).second)
      continue;
    ++Found.Crashed_;
    Found.WithoutTrial_ += Other.HadRunOnTrial_ ? 0 : 1;
  }
  Found.HasOthers_ =
      std::any_of(Known.begin(), Known.end(), [&](const WorkerEntry &Worker) {
        return IsNear(Worker, Crash.Worker_) &&
               !CrashedHosts.contains(hostOf(Worker));
      });
  return Found;
}

CrashVerdict CrashBlame::judge(const CrashedTrial &Trial,
                               const std::vector<WorkerEntry> &Known) const {
  const WorkerCrash &Crash = Crashes_.at(Trial.Lifetime_);
  Surroundings Zone = surroundingsOf(Crash, isSameZone, Known);
  Surroundings Rack = surroundingsOf(Crash, isSameRack, Known);
  CrashVerdict Verdict;
  Verdict.Trial_ = Trial;
  Verdict.Worker_ = Crash.Worker_.Id_;
  Verdict.IsBlamed_ = !Zone.explainCrash() && !Rack.explainCrash();
  Verdict.OtherCrashes_ = std::max(Zone.Crashed_, Rack.Crashed_);
  return Verdict;
}

void CrashBlame::forgetOldCrashes(TimePoint Now) {
  std::set<std::string> Needed;
  for (const CrashedTrial &Trial : Trials_)
    Needed.insert(Trial.Lifetime_);
  std::erase_if(Crashes_, [&](const auto &Each) {
    return Each.second.NoticedAt_ + 2 * Window < Now &&
           !Needed.contains(Each.first);
  });
}

} // namespace dragonflylock
