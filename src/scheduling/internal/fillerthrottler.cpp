#include "scheduling/internal/fillerthrottler.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/iworkercontrol.h"

#include <algorithm>

namespace dragonflylock {
namespace {

constexpr std::uint32_t FullShare = 100;
/// Tail ratio above which filler tasks are slowed down. It is below 1 because
/// the measurement is rough and exceeding the target itself would be noticed
/// too late.
constexpr double SlowDownAboveRatio = 0.8;
/// Tail ratio below which they may speed up.
constexpr double SpeedUpBelowRatio = 0.6;
constexpr std::uint32_t ShareIncrement = 10;
/// Filler tasks are stopped instead of slowed down to a share below this one.
constexpr std::uint32_t MinShare = 5;
/// Time that one measurement of a worker covers.
constexpr std::chrono::milliseconds MeasurementWindow{500};

} // namespace

std::uint32_t nextFillerShare(std::uint32_t Current, double TailRatio) {
  if (TailRatio > 1.0)
    return Current / 4 < MinShare ? 0 : Current / 4;
  if (TailRatio > SlowDownAboveRatio)
    return Current / 2 < MinShare ? 0 : Current / 2;
  if (TailRatio < SpeedUpBelowRatio)
    return std::min(FullShare, Current + ShareIncrement);
  return Current;
}

void FillerThrottler::tick() {
  if (!Pool_.holdsLease())
    return;
  const TimePoint Now = Pool_.Clock_.now();
  for (auto &[Lifetime, Session] : Pool_.Sessions_)
    if (Session->IsFenced_ && !Session->IsSuperseded_ &&
        Session->NextPaceAt_ <= Now)
      adjust(*Session);
}

void FillerThrottler::adjust(WorkerSession &Session) {
  bool HasServing = false;
  double WorstTailRatio = 0;
  for (const auto &[Name, Run] : Session.runs()) {
    if (Run.LatencyTarget_.count() <= 0 || !Run.ConfirmedAt_)
      continue;
    HasServing = true;
    WorstTailRatio = std::max(
        WorstTailRatio, static_cast<double>(Run.Measurement_) /
                            static_cast<double>(Run.LatencyTarget_.count()));
  }
  Session.NextPaceAt_ =
      Pool_.Clock_.now() + MeasurementWindow + Pool_.Settings_.PaceDelay_;
  if (Session.fillers() == 0)
    return;
  for (auto &[Name, Run] : Session.changeRuns()) {
    if (!Run.IsFiller_ || !Run.ConfirmedAt_)
      continue;
    std::uint32_t Next =
        HasServing ? nextFillerShare(Run.Percent_, WorstTailRatio) : FullShare;
    if (Next == Run.Percent_)
      continue;
    sendShare(Session, Name, Run, Next);
  }
}

void FillerThrottler::sendShare(WorkerSession &Session, const TaskName &Name,
                                SessionRun &Filler, std::uint32_t NewShare) {
  const RunNumber Run = Filler.Run_;
  // If the order is not accepted, a run that was to be slowed down is assumed
  // to run at the full share, and one that was to be sped up at its old share,
  // so that the next round repeats the order.
  const std::uint32_t ShareOnFailure =
      NewShare > Filler.Percent_ ? Filler.Percent_ : FullShare;
  Filler.Percent_ = NewShare;
  Pool_.Workers_.pace(Session.target(), Name, Run, NewShare, Session.Token_,
                      [Weak = weak_from_this(),
                       Lifetime = Session.entry().lifetime(), Name, Run,
                       ShareOnFailure](const OrderAnswer &Answer) {
                        auto Self = Weak.lock();
                        if (!Self || Answer.Outcome_ == OrderOutcome::Accepted)
                          return;
                        WorkerSession *Session = Self->Pool_.session(Lifetime);
                        if (Session == nullptr)
                          return;
                        SessionRun *Found = Session->run(Name);
                        if (Found != nullptr && Found->Run_ == Run)
                          Found->Percent_ = ShareOnFailure;
                      });
}

} // namespace dragonflylock
