// Workers, the machines that they run on, and a log of what was seen.
#pragma once

#include "store.hh"

#include <cstdio>
#include <fstream>
#include <memory>
#include <optional>

namespace standin {

class Record {
public:
  explicit Record(const std::string &Path) : File_(Path) {}

  void write(const std::string &Line) {
    const std::lock_guard Lock(Mutex_);
    char Time[32];
    std::snprintf(Time, sizeof Time, "%9.3f s  ",
                  std::chrono::duration<double>(Clock::now() - Start_).count());
    File_ << Time << Line << std::endl;
  }

private:
  std::mutex Mutex_;
  std::ofstream File_;
  Clock::time_point Start_ = Clock::now();
};

// How long the runs of a worker take and how they end is told by the payload
// of the job: {"run_ms":200}. Without it a run lasts until it is stopped. With
// "needs_database" a run fails at its start while the tasks' database is away.
class Worker {
public:
  Worker(Store &Registry, Record &Log, std::string Id, std::string Machine,
         std::string Pool, std::string Label)
      : Label_(std::move(Label)), Registry_(Registry), Log_(Log),
        Id_(std::move(Id)), Machine_(std::move(Machine)),
        Pool_(std::move(Pool)),
        Born_(std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())),
        Server_([this](const Request &Each) { return handle(Each); }) {
    announce();
    std::thread([this] { live(); }).detach();
  }

  const std::string &id() const { return Id_; }
  const std::string &machine() const { return Machine_; }
  const std::string &pool() const { return Pool_; }

  void drain() {
    IsDraining_ = true;
    announce();
  }

  // The worker's process ends, everything that runs on it too.
  void end() {
    const std::lock_guard Lock(Mutex_);
    IsGone_ = true;
    Runs_.clear();
    Registry_.remove("servers", Id_);
    Changed_.notify_all();
  }

  bool hasLeft() const { return IsGone_; }

  std::size_t running() {
    const std::lock_guard Lock(Mutex_);
    return Runs_.size();
  }

  // Ends that are listed and have not been acknowledged.
  std::size_t unseenEnds() {
    const std::lock_guard Lock(Mutex_);
    return Ends_.size();
  }

  // Tasks whose end "done" has been acknowledged.
  std::set<std::string> acknowledgedTasks() {
    const std::lock_guard Lock(Mutex_);
    return Acknowledged_;
  }

  // Number of starts of each task.
  std::map<std::string, int> startsByTask() {
    const std::lock_guard Lock(Mutex_);
    return Starts_;
  }

  std::uint64_t starts() const { return Started_; }

  void setDatabase(bool IsThere) { HasDatabase_ = IsThere; }

  std::size_t allEnds() {
    const std::lock_guard Lock(Mutex_);
    return LastEnd_;
  }

private:
  struct Run {
    std::uint64_t Number = 0;
    Clock::time_point Started;
    std::optional<Clock::time_point> EndsAt;
    std::string Saved;
  };
  struct End {
    std::string Task;
    std::uint64_t Number = 0;
    std::string How;
    std::string Saved;
  };

  std::int64_t clockMs() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - Start_)
               .count() +
           1000;
  }

  void announce() {
    Json Entry = {
        {"service", Pool_},
        {"address", Server_.address()},
        {"zone", "a"},
        {"version", "v1"},
        {"slots", 8},
        {"state", IsDraining_ ? "draining" : "ready"},
        {"cold_left_ms", 0},
        {"capacity", {{"cpu", 16000}, {"mem_mb", 32768}, {"gpus", 0}}},
        {"labels", {Label_, "r1-1"}},
        {"machine", Machine_},
        {"born", Born_.count()},
        {"clock_ms", clockMs()},
        {"sequence", ++Sequence_}};
    Registry_.put("servers", Id_, Entry.dump());
  }

  void live() {
    auto NextBeat = Clock::now() + milliseconds(1500);
    while (!IsGone_) {
      std::this_thread::sleep_for(milliseconds(5));
      if (Clock::now() >= NextBeat) {
        NextBeat += milliseconds(1500);
        announce();
      }
      const std::lock_guard Lock(Mutex_);
      bool HasLapsed = clockMs() >= Deadline_;
      for (auto At = Runs_.begin(); At != Runs_.end();) {
        const bool IsDone =
            At->second.EndsAt && Clock::now() >= *At->second.EndsAt;
        if (!IsDone && !HasLapsed) {
          ++At;
          continue;
        }
        finish(At->first, At->second, IsDone ? "done" : "lapsed");
        At = Runs_.erase(At);
      }
    }
  }

  std::string savedBy(const Run &Each) const {
    auto Age =
        std::chrono::duration_cast<milliseconds>(Clock::now() - Each.Started);
    if (Age < milliseconds(500)) // checkpoint_s
      return Each.Saved;
    char Text[32];
    std::snprintf(Text, sizeof Text, "%016llx",
                  static_cast<unsigned long long>(Age.count() / 500));
    return Text;
  }

  void finish(const std::string &Task, const Run &Each,
              const std::string &How) {
    Ends_[++LastEnd_] = {Task, Each.Number, How,
                         How == "done" ? "" : savedBy(Each)};
    Log_.write("worker " + Id_ + ": " + Task + " run " +
               std::to_string(Each.Number) + " ended " + How);
    Changed_.notify_all();
  }

  Response reply(int Status, Json Body) const {
    Body["clock_ms"] = clockMs();
    Body["born"] = Born_.count();
    return {Status, Body.dump()};
  }

  Response handle(const Request &Each) {
    if (IsGone_)
      return {0, ""};
    auto Target = Each.Headers.find("target-instance");
    if (Target != Each.Headers.end() && Target->second != Id_)
      return {421, ""};
    Json Body;
    try {
      Body = Json::parse(Each.Body);
    } catch (const std::exception &) {
      return {400, ""};
    }
    std::unique_lock Lock(Mutex_);
    std::uint64_t Token = Body.value("fencing_token", std::uint64_t{0});
    if (Token < Token_)
      return reply(409, {{"reason", "fence"}});
    Token_ = Token;
    if (Each.Path == "/run-start")
      return start(Body);
    if (Each.Path == "/run-stop")
      return stop(Body);
    if (Each.Path == "/pace")
      return reply(200, Json::object());
    if (Each.Path == "/hold")
      return hold(Body, Lock);
    return {404, ""};
  }

  void extend(const Json &Body) {
    std::int64_t Wanted = Body.value("deadline_ms", std::int64_t{0});
    Deadline_ = std::max(Deadline_, std::min(Wanted, clockMs() + 6000));
  }

  Response start(const Json &Body) {
    const std::string Task = Body.at("task");
    const std::uint64_t Number = Body.at("run");
    auto Found = Runs_.find(Task);
    if (Found != Runs_.end() && Found->second.Number == Number)
      return reply(200, Json::object());
    if (Number <= Highest_[Task]) {
      if (++Refused_ % 20 == 1)
        Log_.write("worker " + Id_ + ": " + Task + " run " +
                   std::to_string(Number) + " rejected, old; " +
                   std::to_string(Highest_[Task]) + " has ended here");
      return reply(409, {{"reason", "old"}});
    }
    if (Body.value("deadline_ms", std::int64_t{0}) <= clockMs())
      return reply(409, {{"reason", "late"}});
    extend(Body);
    Run Next;
    Next.Number = Number;
    Next.Started = Clock::now();
    Next.Saved = Body.value("checkpoint", std::string());
    Json Payload =
        Json::parse(Body.value("spec", std::string()), nullptr, false);
    if (Payload.is_object() && Payload.contains("run_ms"))
      Next.EndsAt =
          Next.Started + milliseconds(Payload["run_ms"].get<std::int64_t>());
    Highest_[Task] = Number;
    ++Started_;
    ++Starts_[Task];
    const bool FailsAtOnce = Payload.is_object() &&
                             Payload.value("needs_database", false) &&
                             !HasDatabase_;
    if (!FailsAtOnce || Number % 500 < 2)
      Log_.write("worker " + Id_ + ": " + Task + " run " +
                 std::to_string(Number) + " started, token " +
                 std::to_string(Token_) + (FailsAtOnce ? ", failed" : ""));
    if (FailsAtOnce) {
      Ends_[++LastEnd_] = {Task, Number, "failed", ""};
      Changed_.notify_all();
      return reply(200, Json::object());
    }
    Runs_[Task] = Next;
    return reply(200, Json::object());
  }

  Response stop(const Json &Body) {
    const std::string Task = Body.at("task");
    const std::uint64_t Number = Body.at("run");
    Highest_[Task] = std::max(Highest_[Task], Number);
    auto Found = Runs_.find(Task);
    if (Found != Runs_.end() && Found->second.Number <= Number) {
      finish(Task, Found->second, "stopped");
      Runs_.erase(Found);
    }
    return reply(200, Json::object());
  }

  Response hold(const Json &Body, std::unique_lock<std::mutex> &Lock) {
    extend(Body);
    const std::uint64_t Seen = Body.value("last_seen", std::uint64_t{0});
    const auto Kept = Ends_.upper_bound(Seen);
    for (auto At = Ends_.begin(); At != Kept; ++At) {
      Log_.write("worker " + Id_ + ": the end of " + At->second.Task + " run " +
                 std::to_string(At->second.Number) + " is acknowledged");
      if (At->second.How == "done")
        Acknowledged_.insert(At->second.Task);
    }
    Ends_.erase(Ends_.begin(), Kept);
    const auto Until =
        Clock::now() + milliseconds(Body.value("wait_ms", std::int64_t{0}));
    while (Ends_.empty() && !IsGone_ && Clock::now() < Until)
      Changed_.wait_until(Lock, Until);
    if (IsGone_)
      return {0, ""};
    Json Running = Json::array();
    for (const auto &[Task, Each] : Runs_)
      Running.push_back({Task, Each.Number, savedBy(Each), 100, 10});
    Json Finished = Json::array();
    for (const auto &[Sequence, Each] : Ends_) {
      if (Finished.size() == 500)
        break;
      Finished.push_back(
          {Sequence, Each.Task, Each.Number, Each.How, Each.Saved});
    }
    return reply(200, {{"running", Running}, {"finished", Finished}});
  }

  const std::string Label_;
  Store &Registry_;
  Record &Log_;
  const std::string Id_;
  const std::string Machine_;
  const std::string Pool_;
  const milliseconds Born_;
  const Clock::time_point Start_ = Clock::now();
  std::atomic<bool> IsGone_ = false;
  std::atomic<bool> IsDraining_ = false;
  std::atomic<int> Sequence_ = 0;
  std::atomic<bool> HasDatabase_ = true;
  std::atomic<std::uint64_t> Started_ = 0;
  std::atomic<std::uint64_t> Refused_ = 0;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::uint64_t Token_ = 0;
  std::int64_t Deadline_ = 0;
  std::map<std::string, Run> Runs_;
  std::map<std::string, std::uint64_t> Highest_;
  std::map<std::uint64_t, End> Ends_;
  std::uint64_t LastEnd_ = 0;
  std::set<std::string> Acknowledged_;
  std::map<std::string, int> Starts_;
  Server Server_;
};

// The machines API of the platform.
class Cloud {
public:
  static constexpr milliseconds AnswerTime{1};
  static constexpr milliseconds UpkeepTime{2000};

  Cloud(Store &Registry, Record &Log)
      : Registry_(Registry), Log_(Log),
        Server_([this](const Request &Each) { return handle(Each); }) {}

  std::string address() const { return Server_.address(); }

  // Answers take this many times as long.
  void setSlowness(int Factor) { Slowness_ = Factor; }

  void add(const std::string &Machine, const std::string &Pool,
           const std::string &Label = "a") {
    const std::lock_guard Lock(Mutex_);
    Labels_[Machine] = Label;
    Machines_[Machine] = {Pool, start(Machine, Pool), std::nullopt, 0};
    Log_.write("platform: machine " + Machine + " is up in pool " + Pool);
  }

  Worker &worker(const std::string &Machine) {
    const std::lock_guard Lock(Mutex_);
    return *Machines_.at(Machine).Current;
  }

  std::vector<std::shared_ptr<Worker>> workers() {
    const std::lock_guard Lock(Mutex_);
    return All_;
  }

  int upkeeps(const std::string &Machine) {
    const std::lock_guard Lock(Mutex_);
    return Machines_.at(Machine).Upkeeps;
  }

private:
  struct Machine {
    std::string Pool;
    std::shared_ptr<Worker> Current; // null during an upkeep
    std::optional<Clock::time_point> BackAt;
    int Upkeeps = 0;
  };

  std::shared_ptr<Worker> start(const std::string &Name,
                                const std::string &Pool) {
    auto Started =
        std::make_shared<Worker>(Registry_, Log_, "i-" + std::to_string(++Ids_),
                                 Name, Pool, Labels_[Name]);
    All_.push_back(Started); // Its threads use it until the process ends.
    return Started;
  }

  Response handle(const Request &Each) {
    std::this_thread::sleep_for(AnswerTime * Slowness_.load());
    const std::lock_guard Lock(Mutex_);
    for (auto &[Name, Listed] : Machines_)
      if (Listed.BackAt && Clock::now() >= *Listed.BackAt) {
        Listed.BackAt.reset();
        Listed.Current = start(Name, Listed.Pool);
      }
    if (Each.Path == "/machines")
      return list();
    if (Each.Path == "/machine-upkeep")
      return upkeep(Json::parse(Each.Body));
    return {400, ""};
  }

  Response list() {
    Json All = Json::array();
    for (const auto &[Name, Listed] : Machines_) {
      Json Text = {
          {"machine", Name},
          {"pool", Listed.Pool},
          {"state", Listed.Current ? "up" : "upkeep"},
          {"zone", "a"},
          {"labels", {"a", "r1-1"}},
          {"capacity", {{"cpu", 16000}, {"mem_mb", 32768}, {"gpus", 0}}}};
      if (Listed.Current)
        Text["id"] = Listed.Current->id();
      All.push_back(Text);
    }
    return {200, Json{{"machines", All}, {"next_page_token", nullptr}}.dump()};
  }

  Response upkeep(const Json &Body) {
    const std::string Name = Body.at("machine");
    auto Found = Machines_.find(Name);
    if (Found == Machines_.end())
      return {400, ""};
    if (!Found->second.Current)
      return {409, R"({"reason":"busy"})"};
    Log_.write("platform: upkeep of " + Name + " begins, wave " +
               Body.at("wave").dump());
    Found->second.Current->end();
    Found->second.Current.reset();
    Found->second.BackAt = Clock::now() + UpkeepTime;
    ++Found->second.Upkeeps;
    return {200, "{}"};
  }

  Store &Registry_;
  Record &Log_;
  std::mutex Mutex_;
  std::map<std::string, Machine> Machines_;
  std::map<std::string, std::string> Labels_;
  std::vector<std::shared_ptr<Worker>> All_;
  int Ids_ = 0;
  std::atomic<int> Slowness_ = 1;
  Server Server_;
};

} // namespace standin
