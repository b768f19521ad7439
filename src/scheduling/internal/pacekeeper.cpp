#include "scheduling/internal/pacekeeper.h"
#include "scheduling/internal/poolstate.h"
#include "scheduling/iworkercontrol.h"

#include <algorithm>

namespace dragonflylock {
namespace {

constexpr std::uint32_t FullShare = 100;
/// Tail ratio above which filling tasks are slowed: the figure is rough, so
/// that the target itself would be noticed too late.
constexpr double SlowAbove = 0.8;
/// Tail ratio below which they may speed up.
constexpr double SpeedUpBelow = 0.6;
constexpr std::uint32_t SpeedUpStep = 10;
/// Shares below this one stop the filling tasks.
constexpr std::uint32_t LeastShare = 5;
/// Workers' figures cover half a second.
constexpr std::chrono::milliseconds FigureWindow{500};

} // namespace

std::uint32_t nextFillerShare(std::uint32_t Current, double TailRatio) {
  if (TailRatio > 1.0)
    return Current / 4 < LeastShare ? 0 : Current / 4;
  if (TailRatio > SlowAbove)
    return Current / 2 < LeastShare ? 0 : Current / 2;
  if (TailRatio < SpeedUpBelow)
    return std::min(FullShare, Current + SpeedUpStep);
  return Current;
}

void PaceKeeper::tick() {
  if (!Pool_.holdsLease())
    return;
  const TimePoint Now = Pool_.Clock_.now();
  for (auto &[Lifetime, Session] : Pool_.Sessions_)
    if (Session->IsFenced_ && Session->NextPace_ <= Now)
      adjust(*Session);
}

void PaceKeeper::adjust(WorkerSession &Session) {
  bool HasServing = false;
  double Worst = 0;
  for (const auto &[Name, Run] : Session.runs()) {
    if (Run.LatencyTarget_.count() <= 0 || !Run.ConfirmedAt_)
      continue;
    HasServing = true;
    Worst =
        std::max(Worst, static_cast<double>(Run.Figure_) /
                            static_cast<double>(Run.LatencyTarget_.count()));
  }
  Session.NextPace_ =
      Pool_.Clock_.now() + FigureWindow + Pool_.Settings_.PaceDelay_;
  if (Session.fillers() == 0)
    return;
  for (auto &[Name, Run] : Session.changeRuns()) {
    if (!Run.IsFiller_ || !Run.ConfirmedAt_)
      continue;
    std::uint32_t Next =
        HasServing ? nextFillerShare(Run.Percent_, Worst) : FullShare;
    if (Next == Run.Percent_)
      continue;
    order(Session, Name, Run, Next);
  }
}

void PaceKeeper::order(WorkerSession &Session, const TaskName &Name,
                       SessionRun &Paced, std::uint32_t Share) {
  const RunNumber Run = Paced.Run_;
  // Without an answer it is taken to have the higher share for being slowed and
  // the lower one for being sped up, so that the next round repeats the order.
  const std::uint32_t Failed =
      Share > Paced.Percent_ ? Paced.Percent_ : FullShare;
  Paced.Percent_ = Share;
  Pool_.Workers_.pace(Session.target(), Name, Run, Share, Pool_.Token_,
                      [Weak = weak_from_this(),
                       Lifetime = Session.entry().lifetime(), Name, Run,
                       Failed](const OrderAnswer &Answer) {
                        auto Self = Weak.lock();
                        if (!Self || Answer.Outcome_ == OrderOutcome::Accepted)
                          return;
                        WorkerSession *Session = Self->Pool_.session(Lifetime);
                        if (Session == nullptr)
                          return;
                        SessionRun *Found = Session->run(Name);
                        if (Found != nullptr && Found->Run_ == Run)
                          Found->Percent_ = Failed;
                      });
}

} // namespace dragonflylock
