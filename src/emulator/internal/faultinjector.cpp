#include "emulator/internal/faultinjector.h"
#include "emulator/internal/emulatednode.h"
#include "emulator/simulation.h"

#include <algorithm>

namespace dragonflylock {

using std::chrono::milliseconds;

FaultInjector::FaultInjector(Simulation &Sim, ModelStore &Store,
                             ModelWorkers &Workers, Nodes &AllNodes)
    : Simulation_(Sim), Store_(Store), Workers_(Workers), Nodes_(AllNodes),
      ReturningWorkers_(Sim, Workers, AllNodes,
                        [this](const std::string &What, milliseconds Duration) {
                          record(What, Duration);
                        }) {}

void FaultInjector::scheduleReturningWorkers(std::uint32_t Count,
                                             milliseconds From,
                                             milliseconds Duration) {
  ReturningWorkers_.schedule(Count, From, Duration);
}

void FaultInjector::scheduleFaults(std::uint32_t Count, milliseconds From,
                                   milliseconds Duration) {
  for (std::uint32_t Number = 0; Number < Count; ++Number)
    Simulation_.schedule(
        From + milliseconds(Simulation_.randomInRange(0, Duration.count())),
        [this] { injectFault(); });
}

void FaultInjector::record(const std::string &What, milliseconds Duration,
                           milliseconds Aftermath) {
  InjectedFaults_.push_back(std::to_string(Simulation_.elapsed().count()) +
                            "ms " + What + " for " +
                            std::to_string(Duration.count()) + "ms");
  LastFaultEnd_ = std::max<TimePoint>(LastFaultEnd_,
                                      Simulation_.now() + Duration + Aftermath);
}

EmulatedNode &FaultInjector::pickNode() {
  auto Last = static_cast<std::int64_t>(Nodes_.size()) - 1;
  return *Nodes_[static_cast<std::size_t>(Simulation_.randomInRange(0, Last))];
}

void FaultInjector::injectFault() {
  milliseconds Duration(Simulation_.randomInRange(500, 7000));
  std::int64_t Kind = Simulation_.randomInRange(0, 4);
  switch (Simulation_.randomInRange(0, 2)) {
  case 0:
    injectNodeFault(Kind, Duration);
    break;
  case 1:
    injectStoreFault(Kind, Duration);
    break;
  default:
    injectWorkerFault(Kind, Duration);
  }
}

void FaultInjector::injectNodeFault(std::int64_t Kind, milliseconds Duration) {
  EmulatedNode &Node = pickNode();
  if (Kind == 0 || Kind == 1) {
    record("kill " + Node.name(), Duration);
    Node.kill();
    Simulation_.schedule(Duration, [&Node] { Node.start(); });
  } else if (Kind == 2) {
    record("freeze " + Node.name(), Duration);
    Node.freeze(Duration);
  } else if (Kind == 3) {
    record("stop " + Node.name(), Duration);
    Node.stopGracefully();
    Simulation_.schedule(Duration + milliseconds(3000),
                         [&Node] { Node.start(); });
  } else {
    killAllNodes(Duration);
  }
}

void FaultInjector::killAllNodes(milliseconds Duration) {
  record("kill all nodes", Duration);
  for (auto &Each : Nodes_) {
    Each->kill();
    Simulation_.schedule(Duration +
                             milliseconds(Simulation_.randomInRange(0, 500)),
                         [Killed = Each.get()] { Killed->start(); });
  }
}

void FaultInjector::injectStoreFault(std::int64_t Kind, milliseconds Duration) {
  StoreFaults &Faults = Store_.faults();
  if (Kind == 0) {
    record("store silent", Duration);
    Faults.IsUnresponsive_ = true;
    Simulation_.schedule(Duration,
                         [&Faults] { Faults.IsUnresponsive_ = false; });
  } else if (Kind == 1) {
    record("store busy", Duration);
    Faults.RefusesAllCalls_ = true;
    Simulation_.schedule(Duration,
                         [&Faults] { Faults.RefusesAllCalls_ = false; });
  } else if (Kind == 2) {
    EmulatedNode &Node = pickNode();
    record("store refuses " + Node.name(), Duration);
    Faults.RefusedNodes_.insert(Node.name());
    Simulation_.schedule(Duration, [&Faults, Name = Node.name()] {
      Faults.RefusedNodes_.erase(Name);
    });
  } else if (Kind == 3) {
    record("store loses responses", Duration);
    Faults.LostResponseProbability_ = 0.3;
    Faults.DelayedExecutionProbability_ = 0.1;
    Simulation_.schedule(Duration, [&Faults] {
      Faults.LostResponseProbability_ = 0;
      Faults.DelayedExecutionProbability_ = 0;
    });
  } else {
    record("store slow, history compacted", Duration);
    Faults.LatencyFactor_ = 40;
    Store_.compact();
    Simulation_.schedule(Duration, [&Faults] { Faults.LatencyFactor_ = 1; });
  }
}

void FaultInjector::injectWorkerFault(std::int64_t Kind,
                                      milliseconds Duration) {
  auto Each = Workers_.workers().begin();
  auto Last = static_cast<std::int64_t>(Workers_.workers().size()) - 1;
  std::advance(Each, Simulation_.randomInRange(0, Last));
  std::string Id = Each->first;
  ModelWorker &Worker = Each->second;
  if (Kind == 0) {
    record("crash " + Id, Duration);
    Workers_.crash(Id, Duration);
  } else if (Kind == 1 || Kind == 2) {
    record("cut " + Id + " off from all nodes", Duration);
    for (auto &Node : Nodes_)
      Worker.UnreachableFrom_.insert(Node->name());
    Simulation_.schedule(milliseconds(4500), [&Worker] {
      Worker.UnreachableFrom_.insert("registry");
    });
    Simulation_.schedule(Duration + milliseconds(4600),
                         [&Worker] { Worker.UnreachableFrom_.clear(); });
  } else if (Kind == 3) {
    record("drain " + Id, Duration);
    Worker.Entry_.State_ = WorkerState::Draining;
    Simulation_.schedule(Duration, [this, &Worker, Id] {
      Worker.Entry_.State_ = WorkerState::Ready;
      Workers_.restart(Id, milliseconds(1000));
    });
  } else {
    record("start orders carried out late", Duration,
           ModelWorkers::MaxStartDelay);
    Workers_.DelayedExecutionProbability_ = 0.1;
    Simulation_.schedule(Duration,
                         [this] { Workers_.DelayedExecutionProbability_ = 0; });
  }
}

} // namespace dragonflylock
