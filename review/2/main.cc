// The cases that are scripts. Usage: standin CASE DAEMON FOLDER RECORD
// Exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't
// run. The environment variable TROUBLE=0 leaves the disruption out.
#include "nodes.hh"

#include <iostream>

namespace standin {

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int NotRun = 2;

class Bench {
public:
  Bench(const std::string &Daemon, const std::string &Folder,
        const std::string &RecordPath, const std::vector<std::string> &Names)
      : Log_(RecordPath), Cloud_(Store_, Log_) {
    for (const std::string &Name : Names)
      Nodes_.push_back(std::make_unique<Node>(
          Name, Daemon, Folder, Store_.address(), Cloud_.address(), Log_));
  }

  // Each pool has a queue of its name, below /NAME/.
  void configure(const std::vector<std::string> &Pools) {
    Json Routes = Json::array(), Services = Json::array();
    for (const std::string &Pool : Pools) {
      Routes.push_back({{"name", "q-" + Pool},
                        {"host", "jobs.example"},
                        {"path_prefix", "/" + Pool + "/"},
                        {"kind", "unsafe"},
                        {"timeout_ms", 3000},
                        {"priority", 0},
                        {"service", Pool},
                        {"max_attempts", 4},
                        {"stretch", 2.2},
                        {"target_latency_ms", 2500}});
      Services.push_back({{"name", Pool}, {"admission_check", true}});
    }
    Store_.put("op", "config",
               Json{{"version", 7},
                    {"routes", Routes},
                    {"services", Services},
                    {"limits", Json::object()}}
                   .dump());
  }

  bool startNodes() {
    for (auto &Each : Nodes_)
      Each->start();
    return waitFor(milliseconds(15000), [this] {
      for (auto &Each : Nodes_)
        if (!Each->isReady())
          return false;
      return true;
    });
  }

  template <typename Condition>
  static bool waitFor(milliseconds Limit, Condition Holds) {
    const auto Until = Clock::now() + Limit;
    while (!Holds()) {
      if (Clock::now() >= Until)
        return false;
      std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
  }

  // An id as a client would choose it, spread over all digits.
  std::string newId() {
    std::uint64_t Mixed = ++Ids_ * 0x9E3779B97F4A7C15ULL;
    Mixed = (Mixed ^ (Mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
    char Text[32];
    std::snprintf(Text, sizeof Text, "%016llx",
                  static_cast<unsigned long long>(Mixed ^ (Mixed >> 27)));
    return Text;
  }

  // Returns the job's id once it is accepted, and nothing if it never is.
  std::string submit(const std::string &Pool, const Json &Payload,
                     const Json &Step) {
    const std::string Id = newId();
    Json Body = {{"spec", Payload.dump()}, {"steps", {Step}}};
    for (int Attempt = 0; Attempt < 10; ++Attempt) {
      Response Answer = call(next().front(), "POST", "/" + Pool + "/" + Id,
                             Body.dump(), "jobs.example");
      Log_.write("client: POST " + Pool + "/" + Id + " -> " +
                 std::to_string(Answer.Status));
      if (Answer.Status >= 200 && Answer.Status < 300)
        return Id;
      std::this_thread::sleep_for(milliseconds(300));
    }
    return {};
  }

  std::string stateOf(const std::string &Pool, const std::string &Id) {
    Response Answer =
        call(next().front(), "GET", "/" + Pool + "/" + Id, "", "jobs.example");
    Json Body = Json::parse(Answer.Body, nullptr, false);
    return Answer.Status == 200 && Body.is_object()
               ? Body.value("state", std::string())
               : std::to_string(Answer.Status);
  }

  bool isCompleted(const std::string &Pool, const std::string &Id,
                   milliseconds Limit) {
    return waitFor(Limit, [&] {
      std::this_thread::sleep_for(milliseconds(100));
      return stateOf(Pool, Id) == "completed";
    });
  }

  void announceWave(int Number, const std::vector<std::string> &Machines) {
    Store_.put("op", "wave/" + std::to_string(Number),
               Json{{"wave", Number},
                    {"machines", Machines},
                    {"duration_s", 20},
                    {"upper_limit", 1}}
                   .dump());
    Log_.write("operator: wave " + std::to_string(Number) + " of " +
               Json(Machines).dump());
  }

  std::string waveState(int Number) {
    Json Status = Json::parse(
        Store_.get("status", "wave/" + std::to_string(Number)), nullptr, false);
    return Status.is_object() ? Status.value("state", std::string())
                              : std::string();
  }

  void endNodes() {
    for (auto &Each : Nodes_)
      Each->end(SIGKILL);
  }

  // SIGTERM to the node that owns the pool, and a start after its end.
  void restartOwner(const std::string &Pool) {
    Json Row = Json::parse(Store_.get("dragonflylock-control", "owner/" + Pool),
                           nullptr, false);
    for (auto &Each : Nodes_)
      if (Row.is_object() && Row.value("holder", "") == Each->name()) {
        Log_.write("trouble: SIGTERM to " + Each->name());
        Each->end(SIGTERM);
        Log_.write(Each->name() + " has ended");
        Each->start();
      }
  }

  void killOwner(const std::string &Pool) {
    Json Row = Json::parse(Store_.get("dragonflylock-control", "owner/" + Pool),
                           nullptr, false);
    for (auto &Each : Nodes_)
      if (Row.is_object() && Row.value("holder", "") == Each->name()) {
        Log_.write("trouble: SIGKILL to " + Each->name());
        Each->end(SIGKILL);
      }
  }

  // The machine of the first node is lost for good.
  void loseNode() {
    Log_.write("trouble: " + Nodes_.front()->name() + " is killed for good");
    Nodes_.front()->end(SIGKILL);
    Nodes_.erase(Nodes_.begin());
  }

  Record &log() { return Log_; }
  Store &store() { return Store_; }
  Cloud &cloud() { return Cloud_; }

private:
  Node &next() { return *Nodes_[++Turn_ % Nodes_.size()]; }

  Record Log_;
  Store Store_;
  Cloud Cloud_;
  std::vector<std::unique_ptr<Node>> Nodes_;
  std::size_t Turn_ = 0;
  std::uint64_t Ids_ = 0;
};

const Json ShortRun = {{"run_ms", 200}};
const Json OneTask = {
    {"count", 1}, {"cpu", 500}, {"mem_mb", 64}, {"estimate_ms", 200}};

// A wave of a machine that was added after the last wave.
int playWaveOfNewMachine(Bench &Play, bool HasTrouble) {
  constexpr milliseconds WatchTime{20000};
  constexpr int SlowFactor = 50;
  constexpr milliseconds SlowTime{5000};
  Cloud &Platform = Play.cloud();
  Play.configure({"desk", "board"});
  Platform.add("m-1", "desk");
  Platform.add("m-2", "desk");
  Platform.add("m-3", "board");
  Platform.add("m-4", "board");
  if (!Play.startNodes())
    return NotRun;
  for (const char *Pool : {"desk", "board"})
    if (!Play.isCompleted(Pool, Play.submit(Pool, ShortRun, OneTask),
                          milliseconds(15000)))
      return NotRun;
  Play.announceWave(1, {"m-1", "m-3"});
  if (!Play.waitFor(milliseconds(30000),
                    [&] { return Play.waveState(1) == "completed"; }))
    return NotRun;
  Play.log().write("store: wave 1 is said to be completed");
  // The nodes read the machines for a moment longer.
  std::this_thread::sleep_for(milliseconds(5000));
  const std::string Due = HasTrouble ? "m-5" : "m-2";
  if (HasTrouble)
    Platform.add(Due, "desk");
  std::this_thread::sleep_for(milliseconds(3000));
  if (!Play.isCompleted("desk", Play.submit("desk", ShortRun, OneTask),
                        milliseconds(15000)))
    return NotRun;
  if (HasTrouble) {
    Platform.setSlowness(SlowFactor);
    Play.log().write("trouble: answers of the platform take 50 times as long");
  }
  Play.announceWave(2, {Due});
  std::string Last;
  bool IsBroken = false;
  const auto SlowUntil = Clock::now() + SlowTime;
  bool IsSlow = HasTrouble;
  const auto Until = Clock::now() + WatchTime;
  while (Clock::now() < Until) {
    if (IsSlow && Clock::now() >= SlowUntil) {
      IsSlow = false;
      Platform.setSlowness(1);
      Play.log().write("the platform answers as fast as before");
    }
    std::string State = Play.waveState(2);
    if (State != Last)
      Play.log().write("store: wave 2 is said to be " + State +
                       "; upkeeps of " + Due +
                       " begun: " + std::to_string(Platform.upkeeps(Due)));
    IsBroken = IsBroken || (State == "completed" && State != Last &&
                            Platform.upkeeps(Due) == 0);
    Last = State;
    std::this_thread::sleep_for(milliseconds(1));
  }
  Play.log().write("end: wave 2 is said to be " + Last + ", upkeeps of " + Due +
                   " begun: " + std::to_string(Platform.upkeeps(Due)));
  return IsBroken ? Broken : Held;
}

// A large job that lasts and saves its progress, beside short jobs.
int playLargeJob(Bench &Play, bool HasTrouble) {
  constexpr std::size_t Tasks = 2600;
  constexpr int ShortJobs = 40;
  constexpr milliseconds Settle{20000};
  Cloud &Platform = Play.cloud();
  Play.configure({"desk"});
  // One of seven workers is within the share of 0.15 that may leave.
  for (int Number = 1; Number <= 7; ++Number)
    Platform.add("m-" + std::to_string(Number), "desk");
  if (!Play.startNodes())
    return NotRun;
  Json Large = {{"count", Tasks},       {"cpu", 5},
                {"mem_mb", 2},          {"estimate_ms", 1000},
                {"long_running", true}, {"checkpointing", true}};
  if (Play.submit("desk", Json::object(), Large).empty())
    return NotRun;
  auto running = [&] {
    std::size_t Count = 0;
    for (auto &Each : Platform.workers())
      Count += Each->running();
    return Count;
  };
  if (!Play.waitFor(milliseconds(40000), [&] { return running() >= Tasks; }))
    return NotRun;
  Play.log().write("all tasks of the large job run");
  std::this_thread::sleep_for(milliseconds(2000));
  if (!Play.isCompleted("desk", Play.submit("desk", ShortRun, OneTask),
                        milliseconds(10000)))
    return NotRun;
  if (HasTrouble) {
    Platform.worker("m-1").drain();
    Play.log().write("trouble: the worker on m-1 drains");
  }
  std::this_thread::sleep_for(milliseconds(8000));
  if (HasTrouble) {
    Platform.worker("m-1").end();
    Play.log().write("trouble: the worker on m-1 has left");
  }
  std::vector<std::string> Jobs;
  for (int Job = 0; Job < ShortJobs; ++Job) {
    Jobs.push_back(Play.submit("desk", ShortRun, OneTask));
    std::this_thread::sleep_for(milliseconds(100));
  }
  std::this_thread::sleep_for(Settle);
  std::size_t Unseen = 0, All = 0;
  for (auto &Each : Platform.workers()) {
    if (Each->hasLeft())
      continue;
    Play.log().write("worker " + Each->id() + ": " +
                     std::to_string(Each->allEnds()) + " ends, " +
                     std::to_string(Each->unseenEnds()) +
                     " of them not taken note of");
    Unseen += Each->unseenEnds();
    All += Each->allEnds();
  }
  std::size_t Open = 0;
  for (const std::string &Job : Jobs) {
    std::string State =
        Job.empty() ? "not accepted" : Play.stateOf("desk", Job);
    Play.log().write("client: GET desk/" + Job + " -> " + State);
    Open += State == "completed" ? 0 : 1;
  }
  Play.log().write("end: " + std::to_string(Unseen) + " of " +
                   std::to_string(All) + " ends not taken note of; " +
                   std::to_string(Open) + " of " + std::to_string(ShortJobs) +
                   " short jobs not shown as completed; transactions that the "
                   "store refused as too large: " +
                   std::to_string(Play.store().refusedTransactions()));
  return Unseen * 5 > All ? Broken : Held;
}

// A long-running task fails at each start until its database is back. In the
// meantime the node that owns the pool is restarted.
int playFailingTask(Bench &Play, bool HasTrouble) {
  constexpr std::uint64_t Starts = 14000;
  constexpr milliseconds TimeToStart{20000};
  Cloud &Platform = Play.cloud();
  Play.configure({"desk"});
  Platform.add("m-1", "desk");
  Platform.add("m-2", "desk");
  auto setDatabase = [&](bool IsThere) {
    for (auto &Each : Platform.workers())
      Each->setDatabase(IsThere);
  };
  auto starts = [&] {
    std::uint64_t Sum = 0;
    for (auto &Each : Platform.workers())
      Sum += Each->starts();
    return Sum;
  };
  if (!Play.startNodes() ||
      !Play.isCompleted("desk", Play.submit("desk", ShortRun, OneTask),
                        milliseconds(15000)))
    return NotRun;
  setDatabase(false);
  Json Lasting = OneTask;
  Lasting["long_running"] = true;
  if (Play.submit("desk", {{"needs_database", true}}, Lasting).empty())
    return NotRun;
  const bool HasFailedOften =
      Play.waitFor(milliseconds(60000), [&] { return starts() >= Starts; });
  Play.log().write(std::to_string(starts()) + " starts so far");
  if (!HasFailedOften)
    return NotRun;
  if (HasTrouble)
    Play.restartOwner("desk");
  std::this_thread::sleep_for(milliseconds(3000));
  setDatabase(true);
  Play.log().write("the tasks' database is back");
  const bool HasStarted = Play.waitFor(TimeToStart, [&] {
    std::size_t Running = 0;
    for (auto &Each : Platform.workers())
      Running += Each->running();
    return Running > 0;
  });
  Play.log().write(HasStarted ? "the task runs"
                              : "the task has not run for 20 s");
  const std::string Other = Play.submit("desk", ShortRun, OneTask);
  Play.log().write(std::string("another job is ") +
                   (Play.isCompleted("desk", Other, milliseconds(10000))
                        ? "completed"
                        : "not completed"));
  return HasStarted ? Held : Broken;
}

// One of three nodes is lost while they own many pools.
int playManyPools(Bench &Play, bool HasTrouble) {
  constexpr int PoolCount = 90;
  constexpr milliseconds WatchTime{40000};
  // A task that lasts has to run again from 6 s after its last run, and is
  // missed after 3 s more.
  constexpr milliseconds LongestGap{9000};
  constexpr milliseconds CalmAfter{10000};
  Cloud &Platform = Play.cloud();
  std::vector<std::string> Pools;
  for (int Number = 1; Number <= PoolCount; ++Number)
    Pools.push_back("pool" + std::to_string(Number));
  Play.configure(Pools);
  for (const std::string &Pool : Pools)
    Platform.add("m-" + Pool, Pool);
  if (!Play.startNodes())
    return NotRun;
  Json Lasting = OneTask;
  Lasting["long_running"] = true;
  for (const std::string &Pool : Pools)
    if (Play.submit(Pool, Json::object(), Lasting).empty())
      return NotRun;
  auto Workers = Platform.workers();
  auto running = [&] {
    std::size_t Count = 0;
    for (auto &Each : Workers)
      Count += Each->running();
    return Count;
  };
  const bool DoAllRun = Play.waitFor(milliseconds(60000),
                                     [&] { return running() == Pools.size(); });
  Play.log().write(std::to_string(running()) + " tasks run");
  if (!DoAllRun)
    return NotRun;
  std::this_thread::sleep_for(milliseconds(3000));
  if (HasTrouble)
    Play.loseNode();
  const auto From = Clock::now();
  std::map<std::string, Clock::time_point> LastRun;
  std::set<std::string> Missed;
  while (Clock::now() < From + WatchTime) {
    for (auto &Each : Workers) {
      const auto Now = Clock::now();
      if (Each->running() > 0 || !LastRun.contains(Each->pool()))
        LastRun[Each->pool()] = Now;
      else if (Now >= LastRun[Each->pool()] + LongestGap &&
               Now >= From + CalmAfter && Missed.insert(Each->pool()).second)
        Play.log().write("the task of " + Each->pool() +
                         " has not run for 9 s");
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  Play.log().write(
      "end: " + std::to_string(Missed.size()) + " of " +
      std::to_string(Pools.size()) +
      " tasks were missed; running now: " + std::to_string(running()));
  return Missed.empty() ? Held : Broken;
}

// A gang ends while the store is down, and its owner is killed before the store
// is back.
int playGang(Bench &Play, bool HasTrouble) {
  Cloud &Platform = Play.cloud();
  Play.configure({"desk"});
  for (const char *Machine : {"m-1", "m-2", "m-3", "m-4"})
    Platform.add(Machine, "desk");
  if (!Play.startNodes() ||
      !Play.isCompleted("desk", Play.submit("desk", ShortRun, OneTask),
                        milliseconds(15000)))
    return NotRun;
  Json Gang = {{"count", 8},
               {"cpu", 6000},
               {"mem_mb", 64},
               {"gang", true},
               {"estimate_ms", 2000}};
  const std::string Job = Play.submit("desk", {{"run_ms", 2000}}, Gang);
  auto starts = [&] {
    std::map<std::string, int> Count;
    for (auto &Each : Platform.workers())
      for (const auto &[Task, Starts] : Each->startsByTask())
        if (Task.starts_with(Job))
          Count[Task] += Starts;
    return Count;
  };
  if (Job.empty() ||
      !Play.waitFor(milliseconds(5000), [&] { return starts().size() == 8; }))
    return NotRun;
  std::this_thread::sleep_for(milliseconds(1600));
  if (HasTrouble) {
    Play.log().write("trouble: the store is down");
    Play.store().setDown(true);
  }
  std::this_thread::sleep_for(milliseconds(1200));
  if (HasTrouble)
    Play.killOwner("desk");
  std::this_thread::sleep_for(milliseconds(500));
  Play.store().setDown(false);
  std::this_thread::sleep_for(milliseconds(20000));
  std::set<std::string> Acknowledged;
  for (auto &Each : Platform.workers())
    Acknowledged.merge(Each->acknowledgedTasks());
  int Doubled = 0;
  for (const auto &[Task, Starts] : starts())
    Doubled += Starts > 1 && Acknowledged.contains(Task) ? 1 : 0;
  Play.log().write("end: " + std::to_string(Doubled) +
                   " tasks were started again after an acknowledged end; the "
                   "job is " +
                   Play.stateOf("desk", Job));
  return Doubled > 0 ? Broken : Held;
}

// The two workers with a label fail all that they start for a while.
int playLabel(Bench &Play, bool HasTrouble) {
  constexpr milliseconds FailTime{6500};
  constexpr milliseconds CalmAfter{10000};
  Cloud &Platform = Play.cloud();
  Play.configure({"desk"});
  for (int Number = 1; Number <= 14; ++Number)
    Platform.add("m-" + std::to_string(Number), "desk",
                 Number <= 2 ? "b" : "a");
  if (!Play.startNodes() ||
      !Play.isCompleted("desk", Play.submit("desk", ShortRun, OneTask),
                        milliseconds(15000)))
    return NotRun;
  auto setFailing = [&](bool IsFailing) {
    for (const char *Machine : {"m-1", "m-2"})
      Platform.worker(Machine).setDatabase(!IsFailing);
    Play.log().write(IsFailing ? "trouble: workers on m-1 and m-2 fail all runs"
                               : "workers on m-1 and m-2 are sound");
  };
  if (HasTrouble)
    setFailing(true);
  std::this_thread::sleep_for(FailTime - milliseconds(500));
  Json Lasting = {{"count", 24},          {"cpu", 100},
                  {"mem_mb", 64},         {"estimate_ms", 1000},
                  {"long_running", true}, {"requirements", "b"}};
  if (Play.submit("desk", {{"needs_database", true}}, Lasting).empty())
    return NotRun;
  std::this_thread::sleep_for(milliseconds(500));
  if (HasTrouble)
    setFailing(false);
  const auto From = Clock::now();
  auto running = [&] {
    return Platform.worker("m-1").running() + Platform.worker("m-2").running();
  };
  const bool HasStarted =
      Play.waitFor(milliseconds(30000), [&] { return running() > 0; });
  auto Waited = std::chrono::duration_cast<milliseconds>(Clock::now() - From);
  Play.log().write("tasks started: " + std::to_string(HasStarted) + ", after " +
                   std::to_string(Waited.count()) + " ms");
  return HasStarted && Waited < CalmAfter ? Held : Broken;
}

int play(const std::string &Case, Bench &Play) {
  const char *Trouble = std::getenv("TROUBLE");
  const bool HasTrouble = Trouble == nullptr || std::string(Trouble) != "0";
  Play.log().write("case " + Case + ", trouble " + (HasTrouble ? "1" : "0"));
  if (Case == "wave")
    return playWaveOfNewMachine(Play, HasTrouble);
  if (Case == "failing-task")
    return playFailingTask(Play, HasTrouble);
  if (Case == "many-pools")
    return playManyPools(Play, HasTrouble);
  if (Case == "gang")
    return playGang(Play, HasTrouble);
  if (Case == "label")
    return playLabel(Play, HasTrouble);
  if (Case == "large-job")
    return playLargeJob(Play, HasTrouble);
  return NotRun;
}

} // namespace standin

int main(int Count, char **Words) {
  using namespace standin;
  if (Count != 5)
    return NotRun;
  signal(SIGPIPE, SIG_IGN);
  // Never destroyed: threads of the stand-ins use it until the process ends.
  std::vector<std::string> Names{"node-1", "node-2"};
  if (std::string(Words[1]) == "many-pools")
    Names.push_back("node-3");
  Bench &Play = *new Bench(Words[2], Words[3], Words[4], Names);
  const int Result = play(Words[1], Play);
  Play.endNodes();
  Play.log().write("result " + std::to_string(Result));
  std::cout << "result " << Result << std::endl;
  _exit(Result);
}
