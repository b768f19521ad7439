// A large job comes: a schedule of many occurrences, each with five short
// steps. Judged: whether it has nothing running while a task's turn has come,
// and whether the ends that workers list are taken note of.
#include "fleet.h"

namespace {

constexpr unsigned Occurrences = 1500;
constexpr std::int64_t IntervalMs = 25;
constexpr std::size_t Steps = 5;
constexpr unsigned SmallJobs = 20;
constexpr std::size_t SmallTasks = 3;
const std::string Queue = "swap";

Json smallSteps() {
  return Json::array({{{"count", SmallTasks},
                       {"cpu", 880},
                       {"mem_mb", 512},
                       {"estimate_ms", 850}}});
}
const Json SmallSpec = {
    {"s", Json::array({{{"ms", 850}, {"cpu", 880}, {"mem", 512}}})}};

bool submitSchedule(Fleet &Here, const std::string &Id) {
  Json Chain = Json::array(), Work = Json::array();
  for (std::size_t Step = 0; Step < Steps; ++Step) {
    Json Each = {
        {"count", 1}, {"cpu", 100}, {"mem_mb", 64}, {"estimate_ms", 20}};
    if (Step > 0)
      Each["after"] = Json::array({Step - 1});
    Chain.push_back(Each);
    Work.push_back({{"ms", 20}, {"cpu", 100}, {"mem", 64}});
  }
  const std::string Body = Json{
      {"spec", Json{{"s", Work}}.dump()},
      {"steps", Chain},
      {"times", Occurrences},
      {"first_run_ms", wallMs() + 500},
      {"interval_ms",
       IntervalMs}}.dump();
  return Here.submitBody(Queue, Id, Body);
}

/// \returns the number of tasks of the schedule whose turn has come: all due
/// steps before have ended done, and the task has neither begun nor ended.
std::size_t tasksInTurn(Fleet &Here, const std::string &Id) {
  const std::lock_guard Lock(Here.Book_.Mutex_);
  std::set<std::string> Done;
  for (const auto &Each : Here.Book_.Ends_)
    if (Each.How_ == "done")
      Done.insert(Each.Task_);
  std::size_t InTurn = 0;
  for (unsigned K = 0; K < Occurrences; ++K)
    for (std::size_t Step = 0; Step < Steps; ++Step) {
      auto NameOf = [&](std::size_t Of) {
        return Id + "." + std::to_string(K) + "." + std::to_string(Of) + ".0";
      };
      const bool IsReady = Step == 0 || Done.contains(NameOf(Step - 1));
      if (IsReady && !Done.contains(NameOf(Step)) &&
          !Here.Book_.RunningOn_.contains(NameOf(Step)))
        ++InTurn;
    }
  return InTurn;
}

struct Count {
  std::size_t Listed_ = 0, Done_ = 0, Unseen_ = 0;
};
/// Counts the ends that were listed over ack_ms ago.
Count countEnds(Fleet &Here,
                const std::function<bool(const std::string &)> &Of) {
  const std::int64_t Now = steadyMs();
  const std::lock_guard Lock(Here.Book_.Mutex_);
  Count Found;
  for (const auto &Each : Here.Book_.Ends_) {
    if (Each.ListedAt_ == 0 || Now - Each.ListedAt_ < AckMs ||
        !Of(Each.Task_.substr(0, 16)))
      continue;
    ++Found.Listed_;
    Found.Done_ += Each.How_ == "done" ? 1 : 0;
    Found.Unseen_ += Each.SeenAt_ == 0 ? 1 : 0;
  }
  return Found;
}

int play() {
  Fleet Here{FleetOptions{}};
  if (!Here.start())
    return CannotRun;
  std::vector<std::string> Before;
  for (unsigned Number = 1; Number <= 5; ++Number) {
    Before.push_back(jobId(Number));
    if (!Here.submit(Queue, Before.back(), smallSteps(), SmallSpec))
      return CannotRun;
  }
  if (!Here.await(Queue, Before, "completed", 15000))
    return CannotRun;
  RECORD("check: 5 jobs completed before the large one comes");

  Here.Book_.IsQuiet_ = true;
  const std::string Large = jobId(102);
  auto IsLarge = [&](const std::string &Job) { return Job == Large; };
  if (hasTrouble() && !submitSchedule(Here, Large))
    return CannotRun;
  // The last occurrence is due after 38 s.
  sleepMs(static_cast<std::int64_t>(Occurrences) * IntervalMs + 5000);
  Here.Book_.IsQuiet_ = false;
  std::vector<std::string> After;
  for (unsigned Number = 201; Number <= 200 + SmallJobs; ++Number) {
    After.push_back(jobId(Number));
    if (!Here.submit(Queue, After.back(), smallSteps(), SmallSpec))
      return CannotRun;
    sleepMs(100);
  }
  RECORD("check: traffic ends");
  sleepMs(FinishMs);
  // For 3 s, nothing of the job runs while a task's turn has come. The workers
  // have room for 128 cores, and a task takes 0.1.
  std::size_t Waiting = 0;
  bool IsIdle = hasTrouble();
  for (const std::int64_t End = steadyMs() + 3000; steadyMs() < End;
       sleepMs(20)) {
    IsIdle = IsIdle && Here.running() == 0;
    if (IsIdle)
      Waiting = tasksInTurn(Here, Large);
    IsIdle = IsIdle && Waiting > 0;
  }
  RECORD("check: for 3 s %s, and the turn of %zu tasks of the large job has "
         "come",
         IsIdle ? "no task runs on any worker" : "tasks run, or none waits",
         Waiting);
  std::size_t Completed = 0;
  for (const std::string &Id : After) {
    const std::string State = Here.state(Queue, Id);
    RECORD("client: GET /swap/%s -> %s", Id.c_str(), State.c_str());
    Completed += State == "completed" ? 1 : 0;
  }
  if (hasTrouble())
    RECORD("client: GET /swap/%s (the large job) -> %s", Large.c_str(),
           Here.state(Queue, Large).c_str());
  const Count OfAfter = countEnds(Here, [&](const std::string &Job) {
    return std::find(After.begin(), After.end(), Job) != After.end();
  });
  const Count OfLarge = countEnds(Here, IsLarge);
  const Count OfAll = countEnds(Here, [](const std::string &) { return true; });
  RECORD("check: of %u jobs accepted after it, %zu are shown as completed 14 s "
         "after the last one",
         SmallJobs, Completed);
  RECORD("check: their ends, listed over 4 s ago: %zu, %zu done, %zu not taken "
         "note of",
         OfAfter.Listed_, OfAfter.Done_, OfAfter.Unseen_);
  RECORD("check: ends of the large job, listed over 4 s ago: %zu, %zu done, "
         "%zu not taken note of",
         OfLarge.Listed_, OfLarge.Done_, OfLarge.Unseen_);
  RECORD("check: all ends, listed over 4 s ago: %zu, %zu not taken note of",
         OfAll.Listed_, OfAll.Unseen_);
  RECORD("check: the store refused %llu calls for the size of a value, at most "
         "%zu bytes",
         static_cast<unsigned long long>(Here.Platform_->refusedForSize()),
         Here.Platform_->largestRefused());
  // RULES.md, LOST and Acks (more than a fifth of the ends that workers list).
  return IsIdle || OfAll.Unseen_ * 5 > OfAll.Listed_ ? Broken : Held;
}

} // namespace

int main(int Count, char **Words) { return runCase(Count, Words, play); }
