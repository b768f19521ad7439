#include "emulator/internal/returningworkersfault.h"
#include "emulator/internal/emulatednode.h"
#include "emulator/modelworkers.h"
#include "emulator/simulation.h"

#include <algorithm>
#include <utility>

namespace dragonflylock {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t MaxRounds = 3;
constexpr milliseconds MinRoundInterval{7000};
constexpr milliseconds MaxRoundInterval{14000};
/// Longest time before a crash at which an order is sent that reaches the next
/// lifetime.
constexpr milliseconds MaxTransit{300};
constexpr milliseconds MinDowntime{300};
constexpr milliseconds MaxDowntime{2000};
/// Longest time by which the restarts of workers that crash together differ.
constexpr milliseconds MaxDowntimeSpread{100};
/// Longest time from the start of a lifetime until the registry has it.
constexpr milliseconds MaxRegistrationDelay{1500};
constexpr milliseconds MinTimeToCut{300};
constexpr milliseconds MaxTimeToCut{4000};
constexpr milliseconds MinCut{2000};
constexpr milliseconds MaxCut{9000};
/// Time after which the registry no longer lists a worker that is cut off.
constexpr milliseconds RegistryExpiry{4500};
constexpr milliseconds MaxNodeOutage{7000};
/// Time from the release of a node's pools until it can be started again.
constexpr milliseconds GracefulStop{3000};
/// Longest time from the cut to the failure of a node.
constexpr milliseconds MaxTimeToNodeFault{3000};
constexpr double NodeFaultProbability = 0.6;
constexpr double OwnerFaultProbability = 0.8;
constexpr double HoldUpProbability = 0.7;
constexpr double LateOrderProbability = 0.03;

} // namespace

ReturningWorkersFault::ReturningWorkersFault(Simulation &Sim,
                                             ModelWorkers &Workers,
                                             Nodes &AllNodes, Recorder Record)
    : Simulation_(Sim), Workers_(Workers), Nodes_(AllNodes),
      Record_(std::move(Record)),
      Random_(Sim.separateGenerator("returning workers")) {}

milliseconds ReturningWorkersFault::pickDuration(milliseconds Shortest,
                                                 milliseconds Longest) {
  return milliseconds(Random_.inRange(Shortest.count(), Longest.count()));
}

void ReturningWorkersFault::schedule(std::uint32_t Count, milliseconds From,
                                     milliseconds Duration) {
  for (std::uint32_t Number = 0; Number < Count; ++Number)
    Simulation_.schedule(From + pickDuration(milliseconds(0), Duration),
                         [this] { begin(); });
}

void ReturningWorkersFault::begin() {
  beginRound(pickWorkers(),
             static_cast<std::uint32_t>(Random_.inRange(1, MaxRounds)));
}

std::vector<std::string> ReturningWorkersFault::pickWorkers() {
  const auto &All = Workers_.workers();
  auto Any = All.begin();
  std::advance(Any,
               Random_.inRange(0, static_cast<std::int64_t>(All.size()) - 1));
  const WorkerEntry &Chosen = Any->second.Entry_;
  bool IsWholeRack = Random_.withProbability(0.5);
  double Share = Random_.withProbability(0.5) ? 1 : 0.5;
  std::vector<std::string> Ids;
  for (const auto &[Id, Worker] : All) {
    bool IsMember = IsWholeRack ? Worker.Entry_.Rack_ == Chosen.Rack_
                                : Worker.Entry_.Pool_ == Chosen.Pool_ &&
                                      Random_.withProbability(Share);
    if (IsMember || Id == Chosen.Id_)
      Ids.push_back(Id);
  }
  return Ids;
}

void ReturningWorkersFault::beginRound(const std::vector<std::string> &Ids,
                                       std::uint32_t RoundsLeft) {
  milliseconds Downtime = pickDuration(MinDowntime, MaxDowntime);
  milliseconds CutAt = MaxTransit + Downtime + MaxDowntimeSpread +
                       pickDuration(MinTimeToCut, MaxTimeToCut);
  milliseconds Cut = pickDuration(MinCut, MaxCut);
  std::string Pool = Workers_.workers()[Ids.front()].Entry_.Pool_;
  std::string Members;
  for (const std::string &Id : Ids)
    Members += " " + Id;
  Record_("crash" + Members + " for " + std::to_string(Downtime.count()) +
              "ms, cut off for " + std::to_string(Cut.count()) + "ms after " +
              std::to_string(CutAt.count()) + "ms,",
          CutAt + Cut);
  ++ActiveRounds_;
  Workers_.delivery().HoldUpProbability_ = HoldUpProbability;
  Workers_.delivery().LateProbability_ = LateOrderProbability;
  for (const std::string &Id : Ids)
    crash(Id, Downtime + pickDuration(milliseconds(0), MaxDowntimeSpread));
  Simulation_.schedule(CutAt, [this, Ids, Cut] { cutOff(Ids, Cut); });
  Simulation_.schedule(CutAt + Cut, [this] {
    if (--ActiveRounds_ > 0)
      return;
    Workers_.delivery().HoldUpProbability_ = 0;
    Workers_.delivery().LateProbability_ = 0;
  });
  if (Random_.withProbability(NodeFaultProbability))
    Simulation_.schedule(
        pickDuration(milliseconds(0), CutAt + MaxTimeToNodeFault),
        [this, Pool] { failNode(Pool); });
  if (RoundsLeft > 1)
    Simulation_.schedule(
        pickDuration(MinRoundInterval, MaxRoundInterval),
        [this, Ids, RoundsLeft] { beginRound(Ids, RoundsLeft - 1); });
}

void ReturningWorkersFault::crash(const std::string &Id,
                                  milliseconds Downtime) {
  Simulation_.schedule(
      MaxTransit - pickDuration(milliseconds(0), MaxTransit),
      [this, Id] { Workers_.workers()[Id].IsCrashing_ = true; });
  Simulation_.schedule(
      MaxTransit,
      [this, Id, Downtime,
       Registration = pickDuration(milliseconds(0), MaxRegistrationDelay)] {
        Workers_.crashUnnoticed(Id, Downtime, Registration);
      });
}

void ReturningWorkersFault::cutOff(const std::vector<std::string> &Ids,
                                   milliseconds Duration) {
  for (const std::string &Id : Ids) {
    ModelWorker &Worker = Workers_.workers()[Id];
    for (auto &Node : Nodes_)
      Worker.UnreachableFrom_.insert(Node->name());
    if (Duration > RegistryExpiry)
      Simulation_.schedule(RegistryExpiry, [&Worker] {
        Worker.UnreachableFrom_.insert("registry");
      });
    Simulation_.schedule(Duration,
                         [&Worker] { Worker.UnreachableFrom_.clear(); });
  }
}

EmulatedNode &ReturningWorkersFault::pickNode(const std::string &Pool) {
  bool IsOwner = Random_.withProbability(OwnerFaultProbability);
  auto Owner = std::find_if(Nodes_.begin(), Nodes_.end(),
                            [&](auto &Node) { return Node->ownsPool(Pool); });
  if (IsOwner && Owner != Nodes_.end())
    return **Owner;
  auto Last = static_cast<std::int64_t>(Nodes_.size()) - 1;
  return *Nodes_[static_cast<std::size_t>(Random_.inRange(0, Last))];
}

void ReturningWorkersFault::failNode(const std::string &Pool) {
  EmulatedNode &Node = pickNode(Pool);
  milliseconds Outage = pickDuration(milliseconds(500), MaxNodeOutage);
  std::int64_t Kind = Random_.inRange(0, 3);
  if (Kind < 2) {
    Record_("kill " + Node.name(), Outage);
    Node.kill();
    Simulation_.schedule(Outage, [&Node] { Node.start(); });
  } else if (Kind == 2) {
    Record_("freeze " + Node.name(), Outage);
    Node.freeze(Outage);
  } else {
    Record_("stop " + Node.name(), Outage);
    Node.stopGracefully();
    Simulation_.schedule(Outage + GracefulStop, [&Node] { Node.start(); });
  }
}

} // namespace dragonflylock
