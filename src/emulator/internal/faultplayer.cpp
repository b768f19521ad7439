#include "emulator/internal/faultplayer.h"
#include "emulator/internal/emulatednode.h"
#include "emulator/simulation.h"

namespace dragonflylock {

using std::chrono::milliseconds;

void FaultPlayer::plan(std::uint32_t Count, milliseconds From,
                       milliseconds Length) {
  for (std::uint32_t Number = 0; Number < Count; ++Number)
    World_.after(From + milliseconds(World_.between(0, Length.count())),
                 [this] { play(); });
}

void FaultPlayer::note(const std::string &What, milliseconds Length) {
  Played_.push_back(std::to_string(World_.elapsed().count()) + "ms " + What +
                    " for " + std::to_string(Length.count()) + "ms");
}

EmulatedNode &FaultPlayer::pickNode() {
  auto Last = static_cast<std::int64_t>(Nodes_.size()) - 1;
  return *Nodes_[static_cast<std::size_t>(World_.between(0, Last))];
}

void FaultPlayer::play() {
  milliseconds Length(World_.between(500, 7000));
  std::int64_t Kind = World_.between(0, 4);
  switch (World_.between(0, 2)) {
  case 0:
    playNodeFault(Kind, Length);
    break;
  case 1:
    playStoreFault(Kind, Length);
    break;
  default:
    playWorkerFault(Kind, Length);
  }
}

void FaultPlayer::playNodeFault(std::int64_t Kind, milliseconds Length) {
  EmulatedNode &Node = pickNode();
  if (Kind == 0 || Kind == 1) {
    note("kill " + Node.name(), Length);
    Node.kill();
    World_.after(Length, [&Node] { Node.start(); });
  } else if (Kind == 2) {
    note("freeze " + Node.name(), Length);
    Node.freeze(Length);
  } else if (Kind == 3) {
    note("stop " + Node.name(), Length);
    Node.stopGracefully();
    World_.after(Length + milliseconds(3000), [&Node] { Node.start(); });
  } else {
    killAll(Length);
  }
}

void FaultPlayer::killAll(milliseconds Length) {
  note("kill all nodes", Length);
  for (auto &Each : Nodes_) {
    Each->kill();
    World_.after(Length + milliseconds(World_.between(0, 500)),
                 [Killed = Each.get()] { Killed->start(); });
  }
}

void FaultPlayer::playStoreFault(std::int64_t Kind, milliseconds Length) {
  StoreFaults &Faults = Store_.faults();
  if (Kind == 0) {
    note("store silent", Length);
    Faults.IsSilent_ = true;
    World_.after(Length, [&Faults] { Faults.IsSilent_ = false; });
  } else if (Kind == 1) {
    note("store busy", Length);
    Faults.IsBusy_ = true;
    World_.after(Length, [&Faults] { Faults.IsBusy_ = false; });
  } else if (Kind == 2) {
    EmulatedNode &Node = pickNode();
    note("store refuses " + Node.name(), Length);
    Faults.RefusedNodes_.insert(Node.name());
    World_.after(Length, [&Faults, Name = Node.name()] {
      Faults.RefusedNodes_.erase(Name);
    });
  } else if (Kind == 3) {
    note("store loses answers", Length);
    Faults.LostShare_ = 0.3;
    Faults.LateShare_ = 0.1;
    World_.after(Length, [&Faults] {
      Faults.LostShare_ = 0;
      Faults.LateShare_ = 0;
    });
  } else {
    note("store slow and forgetful", Length);
    Faults.Slowness_ = 40;
    Store_.compact();
    World_.after(Length, [&Faults] { Faults.Slowness_ = 1; });
  }
}

void FaultPlayer::playWorkerFault(std::int64_t Kind, milliseconds Length) {
  auto Each = Workers_.all().begin();
  auto Last = static_cast<std::int64_t>(Workers_.all().size()) - 1;
  std::advance(Each, World_.between(0, Last));
  std::string Id = Each->first;
  ModelWorker &Worker = Each->second;
  if (Kind == 0) {
    note("crash " + Id, Length);
    Workers_.restart(Id, Length);
  } else if (Kind == 1 || Kind == 2) {
    note("cut " + Id + " from all", Length);
    for (auto &Node : Nodes_)
      Worker.CutFrom_.insert(Node->name());
    World_.after(milliseconds(4500),
                 [&Worker] { Worker.CutFrom_.insert("registry"); });
    World_.after(Length + milliseconds(4600),
                 [&Worker] { Worker.CutFrom_.clear(); });
  } else if (Kind == 3) {
    note("drain " + Id, Length);
    Worker.Entry_.State_ = WorkerState::Draining;
    World_.after(Length, [this, &Worker, Id] {
      Worker.Entry_.State_ = WorkerState::Ready;
      Workers_.restart(Id, milliseconds(1000));
    });
  } else {
    note("orders are carried out late", Length);
    Workers_.LateShare_ = 0.1;
    World_.after(Length, [this] { Workers_.LateShare_ = 0; });
  }
}

} // namespace dragonflylock
